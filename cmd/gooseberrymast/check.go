package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
)

const checkHelp = `Reads a document and reports everything that is wrong with it, one line for each
fault: file, line, key, the value that stands there and what would be right.
Changes nothing and needs neither the platform nor a running process.

Settings are checked by "balancer --config FILE --check" and
"agent --config FILE --check".

Exit codes: 0 the document is valid, 2 it is not, or the file can't be read.`

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document",
		Long:  checkHelp,
		Args:  invalidArgs(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			document, _, err := readDocument(args[0])
			if err != nil {
				return err
			}
			out := newPrinter(command)
			out.printf("%s is valid: %d services, %d availability zones\n",
				args[0], len(document.Services), len(document.Zones))
			return out.err
		},
	}
}

// readDocument reads and validates the document in a file. It returns the document
// and its text.
func readDocument(file string) (gooseberrymast.Document, []byte, error) {
	text, err := readInput(file, "the name of a document")
	if err != nil {
		return gooseberrymast.Document{}, nil, err
	}
	document, err := parser.DocumentFile(file, text)
	return document, text, err
}

// readInput reads a file named on the command line. A failure is returned as a
// fault, so that the command exits with exitInvalid.
func readInput(file, what string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, gooseberrymast.Faults{{File: file, Value: fmt.Sprintf("%q", cause(err)), Want: what + " that can be read"}}
	}
	return text, nil
}
