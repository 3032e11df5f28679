package main

import (
	"fmt"
	"os"

	"gooseberrymast/coordination/explainer"
)

// logTimeLayout formats the time of a log line, in UTC with milliseconds.
const logTimeLayout = "2006-01-02T15:04:05.000Z"

// explainFromLogs prints the timeline of a request or flow, merged from log files.
func explainFromLogs(out *printer, id string, files []string) error {
	var lines []explainer.Line
	for _, name := range files {
		parsed, skipped, err := readLog(name)
		if err != nil {
			return err
		}
		if skipped > 0 {
			out.printf("%s: %d lines left out, since they are not of the processes' form\n", name, skipped)
		}
		lines = append(lines, parsed...)
	}
	timeline := explainer.BuildTimeline(lines, id)
	if len(timeline.Lines) == 0 {
		return fmt.Errorf("no line of %d names %s; an event over its limit leaves lines out", len(lines), id)
	}
	for _, clock := range timeline.ClockDifferences {
		out.printf("clocks: %s is at least %s behind %s\n", printable(clock.Behind), clock.By, printable(clock.Ahead))
	}
	for _, line := range timeline.Lines {
		out.printf("%s  %-18s %s", line.Time.Format(logTimeLayout), printable(line.Instance), printable(string(line.Event)))
		for _, detail := range line.Details {
			out.printf("  %s=%s", printable(detail.Key), printable(detail.Value))
		}
		if line.Request != "" {
			out.printf("  request=%s", printable(line.Request))
		}
		if line.Flow != "" {
			out.printf("  flow=%s", printable(line.Flow))
		}
		out.printf("\n")
	}
	return out.err
}

// readLog parses a log file and returns its lines and the number of lines that it
// skipped because they have another format.
func readLog(name string) ([]explainer.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fmt.Errorf("read logs: %w", err)
	}
	lines, skipped, err := explainer.Read(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("read logs: %w", closeErr)
	}
	return lines, skipped, err
}
