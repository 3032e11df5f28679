package main

import (
	"gooseberrymast/protocol/translator"
	"gooseberrymast/transport/storer"
)

// openStore gives access to the platform's store at a base URL. Nothing is
// sent before the first call.
func openStore(address string) (revisions, error) {
	return revisions{
		store:  &storer.Storer{Address: address, Timeout: storeTimeout},
		encode: translator.EncodeRevision,
		decode: translator.DecodeRevision,
		wait:   sleep,
	}, nil
}
