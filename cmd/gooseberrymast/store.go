package main

import (
	"gooseberrymast/protocol/translator"
	"gooseberrymast/transport/storer"
)

// openStore returns a revision store for the platform's store at a base URL. It sends
// nothing before the first call.
func openStore(address string) (revisionStore, error) {
	return revisionStore{
		store:  &storer.Storer{Address: address, Timeout: storeTimeout},
		encode: translator.EncodeRevision,
		decode: translator.DecodeRevision,
		sleep:  sleep,
	}, nil
}
