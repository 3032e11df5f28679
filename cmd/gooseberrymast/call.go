package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast/caller"
)

const callLong = `Sends one request to a service as a caller does, over HTTP/3 with a ticket where
the method is not idempotent, and prints the answer. A refusal is printed with its
sentence and its id, which explain takes.

Exit codes: 0 the service answered, 1 it refused or could not be reached, 2
invalid input.`

type callFlags struct {
	address string
	ca      string
	method  string
	data    string
	timeout time.Duration
}

func newCall() *cobra.Command {
	var flags callFlags
	command := &cobra.Command{
		Use:     "call URL",
		Short:   "Send one request to a service as a caller does",
		Long:    callLong,
		Example: "  gooseberrymast call --address 127.0.0.1:4431 --ca certificate.pem --data 'one pall' https://ledger/reserve",
		Args:    invalidArgs(cobra.ExactArgs(1)),
		RunE:    func(command *cobra.Command, args []string) error { return runCall(command, args[0], flags) },
	}
	set := command.Flags()
	set.StringVar(&flags.address, "address", "", "a service's `ADDRESS`: IP and UDP port")
	set.StringVar(&flags.ca, "ca", "", "a PEM `FILE` with the certificates to trust; the system's by default")
	set.StringVar(&flags.method, "method", http.MethodPost, "the HTTP method")
	set.StringVar(&flags.data, "data", "", "the request's body")
	set.DurationVar(&flags.timeout, "timeout", 10*time.Second, "the time given to the request")
	return command
}

func runCall(command *cobra.Command, url string, flags callFlags) error {
	address, err := netip.ParseAddrPort(flags.address)
	if err != nil {
		return invalidError{fmt.Errorf("--address %q: want an IP address and port", flags.address)}
	}
	secure, err := trust(flags.ca)
	if err != nil {
		return invalidError{err}
	}
	request, err := http.NewRequestWithContext(command.Context(), flags.method, url, strings.NewReader(flags.data))
	if err != nil {
		return invalidError{err}
	}
	client := &caller.Client{Addresses: []netip.AddrPort{address}, TLS: secure}
	defer client.Close()
	return showAnswer(command, client, request, flags.timeout)
}

// trust gives the TLS configuration that trusts the certificates of a file.
func trust(file string) (*tls.Config, error) {
	secure := &tls.Config{MinVersion: tls.VersionTLS13}
	if file == "" {
		return secure, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	secure.RootCAs = x509.NewCertPool()
	if !secure.RootCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("--ca %s: want certificates in PEM", file)
	}
	return secure, nil
}

func showAnswer(command *cobra.Command, client *caller.Client, request *http.Request, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if refusal, ok := caller.RefusalOf(response, nil); ok {
		return fmt.Errorf("%s\nid: %s", refusal.Sentence(), refusal.ID)
	}
	if _, err := io.Copy(command.OutOrStdout(), response.Body); err != nil {
		return fmt.Errorf("the answer broke: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.New(response.Status)
	}
	return nil
}
