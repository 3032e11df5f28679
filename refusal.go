package gooseberrymast

import (
	"fmt"
	"time"
)

// Reason is the kebab-case identifier of why a request was refused. Reasons
// lists every one.
type Reason string

// The reasons of a refusal.
const (
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadlineTooClose Reason = "deadline-too-close"
	ReasonDeadlinePassed   Reason = "deadline-passed"
	ReasonCallerRate       Reason = "caller-rate"
	ReasonConnectionLimit  Reason = "connection-limit"
	ReasonInProgressLimit  Reason = "in-progress-limit"
	ReasonServerLeaving    Reason = "server-leaving"
	ReasonServerUnhealthy  Reason = "server-unhealthy"
	ReasonServerShed       Reason = "server-shed"
	ReasonServerBroke      Reason = "server-broke"
	ReasonPeerBroke        Reason = "peer-broke"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonTicketUsed       Reason = "ticket-used"
	ReasonTicketUnknown    Reason = "ticket-unknown"
	ReasonIssuerGone       Reason = "issuer-gone"
	ReasonWrongService     Reason = "wrong-service"
	ReasonNoRevision       Reason = "no-revision"
	ReasonCancelled        Reason = "cancelled"
)

// Ran states whether a refused request may have run at a backend server.
type Ran string

// The values of Ran. RanNo is used only when no backend server can have
// received the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the record of one refused request.
type Refusal struct {
	// ID is unique in the fleet and names the instance that refused.
	ID string
	// Reason is one of Reasons.
	Reason Reason
	// Ran is RanNo or RanUnknown.
	Ran Ran
	// Service is the name of the service that the request was sent to.
	Service string
	// Limit is the kebab-case name of the limit that was reached, or empty.
	Limit string
	// Value is the limit's value with its unit, or empty.
	Value string
	// Revision is the revision of the document in force, or zero before any.
	Revision uint64
	// Instance is the address of the agent that refused.
	Instance string
	// Time is when the request was refused.
	Time time.Time
}

// Error returns the sentence, so that a refusal can be returned as an error.
func (r Refusal) Error() string {
	return r.Sentence()
}

// Sentence describes the refusal in words, using only the record's fields. Two
// refusals for the same cause differ only in their identifier and time.
func (r Refusal) Sentence() string {
	ran := "The request was not run."
	if r.Ran != RanNo {
		ran = "Whether the request ran is unknown."
	}
	limit := ""
	if r.Limit != "" {
		limit = fmt.Sprintf(" (%s is %s)", r.Limit, r.Value)
	}
	return fmt.Sprintf("%s refused the request: %s%s, under revision %d at %s. %s",
		r.Service, ReasonText(r.Reason), limit, r.Revision, r.Instance, ran)
}
