package translator

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/state/directory"
)

var (
	testIdentity = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1_700_000_000}
	testEntry    = directory.Entry{
		Record: gooseberrymast.Record{
			Identity: testIdentity, Sequence: 7, Control: netip.MustParseAddrPort("10.0.0.1:7001"),
			Role: gooseberrymast.RoleAgent, State: gooseberrymast.StateReady, Service: 9, Zone: "cairo-a", Weight: 3,
		},
		Registrars: [2]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")},
		Loss:       directory.LossSecond,
	}
	testReport = messenger.Report{Counts: []messenger.RevisionCount{{Number: 4, Instances: 2, Identities: []gooseberrymast.Identity{testIdentity}}}}
)

// testMessages returns one message of each kind.
func testMessages() []*messenger.Message {
	otherHost := testEntry
	otherHost.Record.Control = netip.MustParseAddrPort("10.0.9.9:7001")
	otherHost.Record.Zone = "cairo-b"
	return []*messenger.Message{
		{Hello: &messenger.Hello{Environment: "trial", Entry: testEntry, Revision: 4, Digest: 5}},
		{Heartbeat: &messenger.Heartbeat{Revision: 4, Primary: true, RequestText: true, Digest: 6, SectionHash: 7, TextRevision: 3}},
		{Delta: &messenger.Delta{
			Updates:  []messenger.Update{{Entry: testEntry, Suspect: true}, {Entry: otherHost}},
			Complete: true,
			Revision: &messenger.Revision{Number: 4, Environment: "trial", WriteID: "w", Author: "amina",
				Time: time.Unix(1_700_000_000, 5).UTC(), Base: 3, TextHash: 8, Packed: []byte{1, 2}},
		}},
		{Cells: &messenger.Cells{Digests: []directory.CellDigest{{Cell: 1, Digest: 2}}}},
		{Buckets: &messenger.Buckets{Cell: 1, Digests: [directory.BucketCount]uint64{3, 4}}},
		{Versions: &messenger.Versions{Cell: 1, Mask: 5, Versions: []directory.Version{{Key: 1, Incarnation: 2, Sequence: 3, Loss: 1}}}},
		{Want: &messenger.Want{Cells: []directory.CellID{1}, Keys: []directory.Key{2}}},
		{Report: &testReport},
		{Advice: &messenger.Advice{Controls: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7001")}}},
		{Query: &messenger.Query{ID: 1, Hops: 3}},
		{Answer: &messenger.Answer{ID: 1, Report: testReport, Root: testIdentity}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range testMessages() {
		is := is.New(t)
		raw, err := proto.Marshal(Encode(message))
		is.NoErr(err)
		var frame control.Message
		is.NoErr(proto.Unmarshal(raw, &frame))
		got, err := Decode(&frame)
		is.NoErr(err)
		is.Equal(got, message)
	}
}

func TestDecodeRejectsInvalidEntries(t *testing.T) {
	tests := []struct {
		name   string
		change func(entry *control.Entry)
		want   error
	}{
		{"no incarnation", func(e *control.Entry) { e.Incarnation = 0 }, ErrNoIncarnation},
		{"no address", func(e *control.Entry) { e.Address = 0 }, ErrNoAddress},
		{"address too long", func(e *control.Entry) { e.Address = 1 << 50 }, ErrNoAddress},
		{"unknown role", func(e *control.Entry) { e.Role = 9 }, ErrOutOfRange},
		{"agent without service", func(e *control.Entry) { e.Service = 0 }, ErrOutOfRange},
		{"unknown state", func(e *control.Entry) { e.State = 5 }, ErrOutOfRange},
		{"large port", func(e *control.Entry) { e.ControlPort = 70_000 }, ErrOutOfRange},
		{"unknown loss", func(e *control.Entry) { e.Loss = 8 }, ErrOutOfRange},
		{"zone not listed", func(e *control.Entry) { e.Zone = 1 }, ErrUnknownZone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			frame := Encode(&messenger.Message{Hello: &messenger.Hello{Entry: testEntry}})
			test.change(frame.GetHello().GetEntry())
			_, err := Decode(frame)
			is.True(errors.Is(err, test.want))
		})
	}
}

func TestStoredValuesRoundTrip(t *testing.T) {
	is := is.New(t)
	cell := messenger.Cell{Holder: testIdentity, Renewal: 3, Entries: []directory.Entry{testEntry}}
	got, err := DecodeCell(EncodeCell(cell))
	is.NoErr(err)
	is.Equal(got, cell)
	revision := gooseberrymast.Revision{Number: 4, Environment: "trial", WriteID: "w", Author: "amina",
		Time: time.Unix(1_700_000_000, 0).UTC(), Text: []byte("zones = []\n")}
	value, err := EncodeRevision(revision)
	is.NoErr(err)
	decoded, err := DecodeRevision(value)
	is.NoErr(err)
	is.Equal(decoded, revision)
	_, err = DecodeRevision([]byte("{}"))
	is.True(errors.Is(err, ErrNoRevisionNumber))
}

// The size estimates for a large fleet assume at most 60 bytes for a record.
func TestEncodedCellFitsSizeLimits(t *testing.T) {
	is := is.New(t)
	const maxEntryBytes = 60
	entries := make([]directory.Entry, 735)
	for i := range entries {
		entries[i] = testEntry
	}
	value := EncodeCell(messenger.Cell{Holder: testIdentity, Entries: entries})
	t.Logf("a cell of %d records: %d bytes, %d a record", len(entries), len(value), len(value)/len(entries))
	is.True(len(value) <= len(entries)*maxEntryBytes)
	is.True(len(value) <= gooseberrymast.MaxObjectBytes)
	for _, message := range testMessages() {
		t.Logf("%s: %d bytes", Encode(message).ProtoReflect().WhichOneof(
			(&control.Message{}).ProtoReflect().Descriptor().Oneofs().Get(0)).Name(), proto.Size(Encode(message)))
	}
}

func FuzzDecode(f *testing.F) {
	for _, message := range testMessages() {
		raw, err := proto.Marshal(Encode(message))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var frame control.Message
		if proto.Unmarshal(raw, &frame) != nil {
			return
		}
		message, err := Decode(&frame)
		if err != nil {
			return
		}
		again, err := Decode(Encode(message))
		if err != nil {
			t.Fatalf("the decoded message can't be encoded and decoded again: %v", err)
		}
		if (again.Delta != nil) != (message.Delta != nil) {
			t.Fatal("the kind changed")
		}
	})
}
