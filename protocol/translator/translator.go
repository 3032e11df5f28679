// Package translator encodes the messages of the membership protocol, and the
// values in the platform's store, and decodes and validates them: every decoded
// record has an address and an incarnation.
package translator

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/state/directory"
)

// ErrUnknownMessage means that a message has no body, or one of an unknown type.
var ErrUnknownMessage = errors.New("unknown message")

// ErrLengthMismatch means that parallel lists differ in length.
var ErrLengthMismatch = errors.New("lists differ in length")

// Encode returns the protobuf message for a message.
func Encode(message *messenger.Message) *control.Message {
	switch {
	case message.Hello != nil:
		return &control.Message{Body: &control.Message_Hello{Hello: encodeHello(message.Hello)}}
	case message.Heartbeat != nil:
		heartbeat := message.Heartbeat
		return &control.Message{Body: &control.Message_Heartbeat{Heartbeat: &control.Heartbeat{
			Revision: heartbeat.Revision, Primary: heartbeat.Primary, Full: heartbeat.RequestText, Digest: heartbeat.Digest,
			Section: heartbeat.SectionHash, Text: heartbeat.TextRevision,
		}}}
	case message.Delta != nil:
		return &control.Message{Body: &control.Message_Delta{Delta: encodeDelta(message.Delta)}}
	case message.Cells != nil:
		return &control.Message{Body: &control.Message_Cells{Cells: encodeCells(message.Cells)}}
	case message.Buckets != nil:
		return &control.Message{Body: &control.Message_Buckets{Buckets: &control.Buckets{
			Cell: uint32(message.Buckets.Cell), Digests: message.Buckets.Digests[:],
		}}}
	case message.Versions != nil:
		return &control.Message{Body: &control.Message_Versions{Versions: encodeVersions(message.Versions)}}
	case message.Want != nil:
		return &control.Message{Body: &control.Message_Want{Want: encodeWant(message.Want)}}
	case message.Report != nil:
		return &control.Message{Body: &control.Message_Report{Report: encodeReport(*message.Report)}}
	case message.Advice != nil:
		return &control.Message{Body: &control.Message_Advice{Advice: encodeAdvice(message.Advice)}}
	case message.Query != nil:
		return &control.Message{Body: &control.Message_Query{Query: &control.Query{
			Id: message.Query.ID, Hops: uint32(message.Query.Hops),
		}}}
	case message.Answer != nil:
		return &control.Message{Body: &control.Message_Answer{Answer: encodeAnswer(message.Answer)}}
	}
	return &control.Message{}
}

// Decode validates a protobuf message and returns its content.
func Decode(message *control.Message) (*messenger.Message, error) {
	decoded, err := decode(message)
	if err != nil {
		return nil, fmt.Errorf("translator.Decode %T: %w", message.GetBody(), err)
	}
	return decoded, nil
}

func decode(message *control.Message) (*messenger.Message, error) {
	switch body := message.GetBody().(type) {
	case *control.Message_Hello:
		hello, err := decodeHello(body.Hello)
		return &messenger.Message{Hello: hello}, err
	case *control.Message_Heartbeat:
		return &messenger.Message{Heartbeat: &messenger.Heartbeat{
			Revision: body.Heartbeat.GetRevision(), Primary: body.Heartbeat.GetPrimary(),
			RequestText: body.Heartbeat.GetFull(), Digest: body.Heartbeat.GetDigest(),
			SectionHash: body.Heartbeat.GetSection(), TextRevision: body.Heartbeat.GetText(),
		}}, nil
	case *control.Message_Delta:
		delta, err := decodeDelta(body.Delta)
		return &messenger.Message{Delta: delta}, err
	case *control.Message_Cells:
		cells, err := decodeCells(body.Cells)
		return &messenger.Message{Cells: cells}, err
	case *control.Message_Buckets:
		buckets, err := decodeBuckets(body.Buckets)
		return &messenger.Message{Buckets: buckets}, err
	case *control.Message_Versions:
		versions, err := decodeVersions(body.Versions)
		return &messenger.Message{Versions: versions}, err
	case *control.Message_Want:
		return &messenger.Message{Want: decodeWant(body.Want)}, nil
	case *control.Message_Report:
		report, err := decodeReport(body.Report)
		return &messenger.Message{Report: &report}, err
	case *control.Message_Advice:
		return &messenger.Message{Advice: decodeAdvice(body.Advice)}, nil
	case *control.Message_Query:
		return &messenger.Message{Query: &messenger.Query{
			ID: body.Query.GetId(), Hops: int(min(body.Query.GetHops(), maxQueryHops)),
		}}, nil
	case *control.Message_Answer:
		answer, err := decodeAnswer(body.Answer)
		return &messenger.Message{Answer: answer}, err
	}
	return nil, ErrUnknownMessage
}

// maxQueryHops limits the hops that a decoded query has left.
const maxQueryHops = 64

func encodeHello(hello *messenger.Hello) *control.Hello {
	var zones zoneList
	entry := encodeEntry(hello.Entry, &zones)
	return &control.Hello{
		Environment: hello.Environment, Entry: entry, Revision: hello.Revision,
		Digest: hello.Digest, Zones: zones.names,
	}
}

func decodeHello(hello *control.Hello) (*messenger.Hello, error) {
	entry, err := decodeEntry(hello.GetEntry(), hello.GetZones())
	if err != nil {
		return nil, err
	}
	return &messenger.Hello{
		Environment: hello.GetEnvironment(), Entry: entry,
		Revision: hello.GetRevision(), Digest: hello.GetDigest(),
	}, nil
}

func encodeDelta(delta *messenger.Delta) *control.Delta {
	encoded := &control.Delta{Complete: delta.Complete}
	var zones zoneList
	for _, update := range delta.Updates {
		entry := encodeEntry(update.Entry, &zones)
		entry.Suspect = update.Suspect
		encoded.Entries = append(encoded.Entries, entry)
	}
	encoded.Zones = zones.names
	if revision := delta.Revision; revision != nil {
		encoded.Revision = &control.Revision{
			Number: revision.Number, Environment: revision.Environment, WriteId: revision.WriteID,
			Author: revision.Author, Time: revision.Time.UnixNano(), Base: revision.Base,
			Sum: revision.TextHash, Packed: revision.Packed,
		}
	}
	return encoded
}

func decodeDelta(delta *control.Delta) (*messenger.Delta, error) {
	decoded := &messenger.Delta{Complete: delta.GetComplete()}
	for _, encoded := range delta.GetEntries() {
		entry, err := decodeEntry(encoded, delta.GetZones())
		if err != nil {
			return nil, err
		}
		decoded.Updates = append(decoded.Updates, messenger.Update{Entry: entry, Suspect: encoded.GetSuspect()})
	}
	if revision := delta.GetRevision(); revision != nil {
		decoded.Revision = &messenger.Revision{
			Number: revision.GetNumber(), Environment: revision.GetEnvironment(), WriteID: revision.GetWriteId(),
			Author: revision.GetAuthor(), Time: time.Unix(0, revision.GetTime()).UTC(), Base: revision.GetBase(),
			TextHash: revision.GetSum(), Packed: revision.GetPacked(),
		}
	}
	return decoded, nil
}

func encodeAdvice(advice *messenger.Advice) *control.Advice {
	encoded := &control.Advice{}
	for _, address := range advice.Controls {
		encoded.Controls = append(encoded.Controls, uint64(directory.KeyOf(address)))
	}
	return encoded
}

func decodeAdvice(advice *control.Advice) *messenger.Advice {
	decoded := &messenger.Advice{Controls: make([]netip.AddrPort, 0, len(advice.GetControls()))}
	for _, key := range advice.GetControls() {
		decoded.Controls = append(decoded.Controls, directory.Key(key).Address())
	}
	return decoded
}

func mustMarshal(message proto.Message) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("translator: %v", err)) // All strings are valid UTF-8.
	}
	return value
}

func unmarshal(value []byte, message proto.Message) error {
	return proto.Unmarshal(value, message)
}
