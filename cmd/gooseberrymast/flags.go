package main

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"gooseberrymast"
)

// Environment variables that set the defaults of flags.
const (
	storeVariable    = "GOOSEBERRYMAST_STORE"
	balancerVariable = "GOOSEBERRYMAST_BALANCER"
	authorVariable   = "USER"
)

// maxAuthorBytes is the longest name of an author, in bytes. A reason given with
// --force may bring the recorded author to twice this length.
const maxAuthorBytes = 200

const storeHelp = `The platform's store is named by --store or GOOSEBERRYMAST_STORE, for example
http://10.0.0.9:7700.`

const balancerHelp = `The balancer is named by --balancer or GOOSEBERRYMAST_BALANCER: the operators'
address of any balancer of the environment, for example 10.0.0.1:7002.`

func storeFlag(command *cobra.Command) *string {
	return command.Flags().String("store", os.Getenv(storeVariable), "base `URL` of the platform's store")
}

func balancerFlag(command *cobra.Command) *string {
	return command.Flags().String("balancer", os.Getenv(balancerVariable), "operators' `address` of a balancer")
}

func authorFlag(command *cobra.Command) *string {
	return command.Flags().String("author", os.Getenv(authorVariable), "your `name`, kept with the revision")
}

func environmentFlag(command *cobra.Command) *string {
	return command.Flags().String("environment", "", "`name` of the environment")
}

// seenFlag adds the flag that makes a write conditional on the newest revision that
// the operator has seen.
func seenFlag(command *cobra.Command) *uint64 {
	return command.Flags().Uint64("seen", 0, "`revision` that you saw as the newest; 0: there was none")
}

// openStoreFlag validates the value of --store and opens that store.
func openStoreFlag(open opener, address string) (revisionStore, error) {
	if address == "" {
		return revisionStore{}, missingFlag("store", "the base URL of the platform's store")
	}
	if !gooseberrymast.IsStoreAddress(address) {
		return revisionStore{}, invalidFlag("store", address, `a URL with an IP address and a port such as "http://10.0.0.9:7700"`)
	}
	return open(address)
}

func checkEnvironment(flag, name string) error {
	if name == "" {
		return missingFlag(flag, "the name of an environment")
	}
	if !gooseberrymast.IsValidName(name) {
		return invalidFlag(flag, name, "the name of an environment: lower-case letters, digits and single hyphens")
	}
	return nil
}

func checkAuthor(name string) error {
	if name == "" {
		return missingFlag("author", "your name")
	}
	if len(name) > maxAuthorBytes || name != printable(name) {
		return invalidFlag("author", name, fmt.Sprintf("at most %d bytes of printable text", maxAuthorBytes))
	}
	return nil
}

func parseAddress(flag, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, missingFlag(flag, "an IP address and a port")
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, invalidFlag(flag, text, `an IP address and a port such as "10.0.0.1:7002"`)
	}
	return address, nil
}

func missingFlag(flag, want string) error {
	return gooseberrymast.Faults{{Key: "--" + flag, Want: want + "; it is missing"}}
}

func invalidFlag(flag, value, want string) error {
	return gooseberrymast.Faults{{Key: "--" + flag, Value: gooseberrymast.FaultValue(value), Want: want}}
}

// printable replaces non-printable characters, so that text from the store or from
// other processes can't send control sequences to the operator's terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
