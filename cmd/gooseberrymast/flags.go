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

// The variables that stand in for flags.
const (
	variableStore    = "GOOSEBERRYMAST_STORE"
	variableBalancer = "GOOSEBERRYMAST_BALANCER"
	variableAuthor   = "USER"
)

// maxAuthorBytes bounds an author's name.
const maxAuthorBytes = 200

const storeHelp = `The platform's store is named by --store or GOOSEBERRYMAST_STORE, for example
http://10.0.0.9:7700.`

const balancerHelp = `The balancer is named by --balancer or GOOSEBERRYMAST_BALANCER: the operators'
address of any balancer of the environment, for example 10.0.0.1:7002.`

func storeFlag(command *cobra.Command) *string {
	return command.Flags().String("store", os.Getenv(variableStore), "base `URL` of the platform's store")
}

func balancerFlag(command *cobra.Command) *string {
	return command.Flags().String("balancer", os.Getenv(variableBalancer), "operators' `address` of a balancer")
}

func authorFlag(command *cobra.Command) *string {
	return command.Flags().String("author", os.Getenv(variableAuthor), "your `name`, kept with the revision")
}

func environmentFlag(command *cobra.Command) *string {
	return command.Flags().String("environment", "", "`name` of the environment")
}

// seenFlag makes a write conditional on a revision that the operator names.
func seenFlag(command *cobra.Command) *uint64 {
	return command.Flags().Uint64("seen", 0, "`revision` that you saw as the newest; 0: there was none")
}

// openFlag opens the store that a flag names.
func openFlag(open opener, address string) (revisions, error) {
	if address == "" {
		return revisions{}, missingFlag("store", "the base URL of the platform's store")
	}
	if !gooseberrymast.IsStoreAddress(address) {
		return revisions{}, invalidFlag("store", address, `a URL with an IP address and a port such as "http://10.0.0.9:7700"`)
	}
	return open(address)
}

func checkEnvironment(flag, name string) error {
	if name == "" {
		return missingFlag(flag, "the name of an environment")
	}
	if !gooseberrymast.IsName(name) {
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

// printable replaces what a terminal might take as a command.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
