package main

import (
	"fmt"
	"os"

	"gooseberrymast/coordination/explainer"
)

// logTime is the form of a log line's time, in UTC with milliseconds.
const logTime = "2006-01-02T15:04:05.000Z"

// explainFromLogs tells the story of a request or flow from log files.
func explainFromLogs(out *printer, id string, files []string) error {
	var lines []explainer.Line
	for _, name := range files {
		read, skipped, err := readLog(name)
		if err != nil {
			return err
		}
		if skipped > 0 {
			out.printf("%s: %d lines left out, since they are not of the processes' form\n", name, skipped)
		}
		lines = append(lines, read...)
	}
	story := explainer.Tell(lines, id)
	if len(story.Lines) == 0 {
		return fmt.Errorf("no line of %d names %s; an event over its limit leaves lines out", len(lines), id)
	}
	for _, clock := range story.Clocks {
		out.printf("clocks: %s is at least %s behind %s\n", printable(clock.Behind), clock.By, printable(clock.Ahead))
	}
	for _, line := range story.Lines {
		out.printf("%s  %-18s %s", line.Time.Format(logTime), printable(line.Instance), printable(string(line.Event)))
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

func readLog(name string) ([]explainer.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fmt.Errorf("read logs: %w", err)
	}
	lines, skipped, err := explainer.Read(file)
	if closed := file.Close(); err == nil && closed != nil {
		err = fmt.Errorf("read logs: %w", closed)
	}
	return lines, skipped, err
}
