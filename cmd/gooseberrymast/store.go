package main

import (
	"errors"
	"fmt"
)

// openStore gives access to the platform's store at a base URL.
func openStore(address string) (revisions, error) {
	return revisions{wait: sleep}, fmt.Errorf("openStore %s: %w", address, errors.ErrUnsupported)
}
