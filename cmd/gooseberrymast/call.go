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
	flagSet := command.Flags()
	flagSet.StringVar(&flags.address, "address", "", "a service's `ADDRESS`: IP and UDP port")
	flagSet.StringVar(&flags.ca, "ca", "", "a PEM `FILE` with the certificates to trust; the system's by default")
	flagSet.StringVar(&flags.method, "method", http.MethodPost, "the HTTP method")
	flagSet.StringVar(&flags.data, "data", "", "the request's body")
	flagSet.DurationVar(&flags.timeout, "timeout", 10*time.Second, "the time given to the request")
	return command
}

func runCall(command *cobra.Command, url string, flags callFlags) error {
	address, err := netip.ParseAddrPort(flags.address)
	if err != nil {
		return invalidError{fmt.Errorf("--address %q: want an IP address and port", flags.address)}
	}
	tlsConfig, err := loadTLSConfig(flags.ca)
	if err != nil {
		return invalidError{err}
	}
	request, err := http.NewRequestWithContext(command.Context(), flags.method, url, strings.NewReader(flags.data))
	if err != nil {
		return invalidError{err}
	}
	client := &caller.Client{Addresses: []netip.AddrPort{address}, TLS: tlsConfig}
	defer client.Close()
	return sendRequest(command, client, request, flags.timeout)
}

// loadTLSConfig returns a TLS configuration that trusts the certificates in a file,
// or the system's roots if file is empty.
func loadTLSConfig(file string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if file == "" {
		return config, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("--ca %s: want certificates in PEM", file)
	}
	return config, nil
}

// sendRequest sends a request and writes the body of the answer to standard output.
// A refusal, or a status of 400 or above, is returned as an error.
func sendRequest(command *cobra.Command, client *caller.Client, request *http.Request, timeout time.Duration) error {
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
