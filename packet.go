package gooseberrymast

// PacketHeader is what decisions see of a packet.
type PacketHeader struct {
	// Source and Destination are the ends as the packet's sender wrote them.
	Source, Destination Endpoint
	// Sequence and Acknowledgement number the bytes of the two directions.
	Sequence, Acknowledgement uint32
	// Tag is a value that a backend server gives back unchanged with a
	// returned packet.
	Tag uint32
	// Copy counts the earlier copies of an opening packet.
	Copy int
	// Payload is the number of bytes that the packet carries.
	Payload int
	// Opens, Acknowledges, Finishes and Resets are the flags of a packet.
	Opens, Acknowledges, Finishes, Resets bool
	// Returned is set by a backend server that gives a packet back.
	Returned bool
}

// FromCaller gives the flow of a packet that a caller sent.
func (h PacketHeader) FromCaller() FlowKey {
	return FlowKey{Caller: h.Source, Service: h.Destination}
}

// FromServer gives the flow of a packet that a backend server sent.
func (h PacketHeader) FromServer() FlowKey {
	return FlowKey{Caller: h.Destination, Service: h.Source}
}

// PacketCodec reads the packets of flows and writes the few that the system
// sends itself. It changes nothing that a packet's sender wrote.
type PacketCodec interface {
	// Decode reads the header of a datagram.
	Decode(datagram []byte) (PacketHeader, error)
	// RequestID gives the id of the request that the datagram begins, or
	// nothing when it begins none that has one.
	RequestID(datagram []byte) string
	// AnswerStatus gives the HTTP status of the answer that the datagram
	// begins, or zero when it begins none.
	AnswerStatus(datagram []byte) int
	// SetTag writes the tag that a backend server gives back.
	SetTag(datagram []byte, tag uint32)
	// ClearReturned undoes what a returned packet has beyond what its sender
	// wrote.
	ClearReturned(datagram []byte)
	// AppendReset appends the packet that resets the flow of a caller's
	// packet towards the caller.
	AppendReset(datagram []byte, of PacketHeader) []byte
}
