package gooseberrymast

// Ticket lets its holder run one non-idempotent request at most once. Only the
// issuer decides whether a ticket may still be used.
type Ticket struct {
	// Issuer is the agent that made the ticket and alone may spend it.
	Issuer Identity
	// Service is the issuer's service.
	Service ServiceTag
	// Sequence is unique among the tickets of the issuer; zero is no ticket.
	Sequence uint64
}

// IsZero reports whether there is no ticket.
func (t Ticket) IsZero() bool {
	return t.Sequence == 0
}
