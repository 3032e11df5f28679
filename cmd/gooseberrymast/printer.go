package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// printer writes to standard output and keeps the first error, so that a
// command whose output was cut off does not end with exit code 0.
type printer struct {
	out io.Writer
	err error
}

func newPrinter(command *cobra.Command) *printer {
	return &printer{out: command.OutOrStdout()}
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// printJSON writes a value as one line.
func (p *printer) printJSON(value any) {
	text, err := json.Marshal(value)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("printer.printJSON: %w", err)
	}
	p.printf("%s\n", text)
}

// table is a printer that aligns the cells between tabs.
type table struct {
	printer
	under   *printer
	aligner *tabwriter.Writer
}

func newTable(under *printer) *table {
	aligner := tabwriter.NewWriter(under.out, 0, 0, 2, ' ', 0)
	return &table{printer: printer{out: aligner}, under: under, aligner: aligner}
}

// flush writes the table and gives the first error of all that was printed.
func (t *table) flush() error {
	return errors.Join(t.under.err, t.err, t.aligner.Flush())
}
