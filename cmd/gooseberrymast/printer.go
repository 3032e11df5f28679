package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// printer writes to standard output and records the first error, so that a command
// whose output could not be written in full does not exit with code 0.
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

// printJSON writes a value as one line of JSON.
func (p *printer) printJSON(value any) {
	text, err := json.Marshal(value)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("printer.printJSON: %w", err)
	}
	p.printf("%s\n", text)
}

// table is a printer that aligns tab-separated columns.
type table struct {
	printer
	parent  *printer
	aligner *tabwriter.Writer
}

func newTable(parent *printer) *table {
	aligner := tabwriter.NewWriter(parent.out, 0, 0, 2, ' ', 0)
	return &table{printer: printer{out: aligner}, parent: parent, aligner: aligner}
}

// flush writes the table and returns the errors of the table and of the printer that
// it was made from.
func (t *table) flush() error {
	return errors.Join(t.parent.err, t.err, t.aligner.Flush())
}
