package gooseberrymast

// Ticket allows its holder to run one non-idempotent request at most once. Only
// the issuer decides whether a ticket may still be used.
type Ticket struct {
	// Issuer is the agent that issued the ticket and grants its use.
	Issuer Identity
	// Service is the issuer's service.
	Service ServiceTag
	// Sequence is unique among the issuer's tickets; zero means no ticket.
	Sequence uint64
}

// IsZero reports whether there is no ticket.
func (t Ticket) IsZero() bool {
	return t.Sequence == 0
}
