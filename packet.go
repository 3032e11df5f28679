package gooseberrymast

// PacketHeader holds the fields of a packet that forwarding decisions use.
type PacketHeader struct {
	// Source and Destination are the endpoints as the packet's sender wrote them.
	Source, Destination Endpoint
	// Sequence and Acknowledgement number the bytes of the two directions.
	Sequence, Acknowledgement uint32
	// Tag is a value that a backend server copies unchanged into a returned
	// packet.
	Tag uint32
	// Copy counts the earlier copies of an opening packet.
	Copy int
	// Payload is the number of payload bytes.
	Payload int
	// Opens is set in a caller's opening packet, and Accepts in a server's answer to it.
	Opens, Accepts bool
	// Acknowledges, Finishes and Resets are the other flags of a packet.
	Acknowledges, Finishes, Resets bool
	// Returned is set in a packet that a backend server returns to its agent.
	Returned bool
}

// FromCaller returns the flow of a packet that a caller sent.
func (h PacketHeader) FromCaller() FlowKey {
	return FlowKey{Caller: h.Source, Service: h.Destination}
}

// FromServer returns the flow of a packet that a backend server sent.
func (h PacketHeader) FromServer() FlowKey {
	return FlowKey{Caller: h.Destination, Service: h.Source}
}

// PacketCodec decodes the packets of flows and encodes the few that the load
// balancer sends itself. It changes nothing that a packet's sender wrote.
type PacketCodec interface {
	// Decode reads the header of a datagram.
	Decode(datagram []byte) (PacketHeader, error)
	// RequestID returns the id of the request that starts in the datagram, or
	// "" when no request starts there or it has no id.
	RequestID(datagram []byte) string
	// AnswerStatus returns the HTTP status of the response that starts in the
	// datagram, or zero when none starts there.
	AnswerStatus(datagram []byte) int
	// SetTag writes the tag that a backend server copies into a returned packet.
	SetTag(datagram []byte, tag uint32)
	// ClearReturned restores a returned packet to what its sender wrote.
	ClearReturned(datagram []byte)
	// AppendReset appends a packet to the caller that resets the flow of the
	// caller's packet.
	AppendReset(datagram []byte, packet PacketHeader) []byte
}
