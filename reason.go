package gooseberrymast

// ReasonInfo describes one reason of a refusal to operators and callers.
type ReasonInfo struct {
	// Reason is the identifier in records and metrics.
	Reason Reason
	// Text follows "refused the request: " in a refusal's sentence.
	Text string
}

// Reasons lists every reason with its text.
var Reasons = []ReasonInfo{
	{ReasonQueueFull, "its queue is full"},
	{ReasonDeadlineTooClose, "it could not be answered before its deadline"},
	{ReasonDeadlinePassed, "its deadline passed before it was answered"},
	{ReasonCallerRate, "the caller sent requests faster than its limit"},
	{ReasonConnectionLimit, "the backend servers hold all the streams they may"},
	{ReasonInProgressLimit, "the backend server runs all the requests it may"},
	{ReasonServerLeaving, "the backend server is leaving and no other could take it"},
	{ReasonServerUnhealthy, "no healthy backend server could take it"},
	{ReasonServerShed, "the backend server refused it for its load"},
	{ReasonServerBroke, "the backend server failed while it held the request"},
	{ReasonPeerBroke, "the agent that was handed the request did not answer"},
	{ReasonRetryBudget, "it failed and the budget for retries is spent"},
	{ReasonTicketUsed, "its ticket was used before"},
	{ReasonTicketUnknown, "its ticket was not issued by this service"},
	{ReasonIssuerGone, "the agent that issued its ticket is gone"},
	{ReasonWrongService, "it was sent to an agent of another service"},
	{ReasonNoRevision, "no document is in force yet"},
	{ReasonCancelled, "the caller cancelled it"},
}

// ReasonText returns the text of a reason, or the reason itself when it isn't
// in Reasons.
func ReasonText(reason Reason) string {
	for _, info := range Reasons {
		if info.Reason == reason {
			return info.Text
		}
	}
	return string(reason)
}
