package interpreter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/protocol/wrapper"
)

// maxPayload is the size of the largest datagram that crosses a link
// unfragmented.
const maxPayload = 1400

func testEndpoint(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, byte(number >> 8), byte(number), 1}, Port: 7300}
}

func testAgent(number int) gooseberrymast.Peer {
	return gooseberrymast.Peer{
		Endpoint: testEndpoint(number), Role: gooseberrymast.RoleAgent, Incarnation: 1 << 41, Sequence: 3,
		State: gooseberrymast.StateLeaving, Service: "ledger", Zone: "cairo-a",
	}
}

func roundTrip(t *testing.T, message *peer.Message) *peer.Message {
	t.Helper()
	datagram, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if len(datagram) > maxPayload {
		t.Fatalf("the datagram has %d bytes, more than an unfragmented one", len(datagram))
	}
	read, err := Decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func testEvacuations() gooseberrymast.EvacuationStatus {
	return gooseberrymast.EvacuationStatus{
		Evacuations: gooseberrymast.Evacuations{
			Version: gooseberrymast.EvacuationsVersion{Era: 3, Revision: 1 << 41}, Zones: []string{"cairo-a", "cairo-b"},
		},
		Known: true, Age: 2 * time.Second, Read: true,
		Held: []gooseberrymast.HeldZone{{Zone: "cairo-c", Left: 9 * time.Second}},
	}
}

func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	report := gooseberrymast.Report{
		Peer: testAgent(1),
		Load: gooseberrymast.FlowLoad{
			Slots: 4, InProgress: 3, Flows: 50, WarmUpLeft: 1500 * time.Millisecond, Failing: 0.25, Limited: true, Room: 7,
		},
		Document: gooseberrymast.DocumentStatus{
			Version: gooseberrymast.DocumentVersion{Number: 19, Revision: 1 << 33, Digest: 1 << 63}, Age: 250 * time.Millisecond, Confirmed: true,
			StoreEra: 2, SettledEra: 1, ReadAge: 125 * time.Millisecond, Read: true,
		},
		Digests:     gooseberrymast.RosterDigests{Balancers: 1 << 60, Agents: 7},
		Evacuations: testEvacuations(),
	}
	is.Equal(ReadReport(roundTrip(t, Report(report)).GetReport()), report)
}

// testWork returns expected work with values of the greatest length.
func testWork() gooseberrymast.WorkLoad {
	work := gooseberrymast.WorkLoad{Cost: 3 * time.Minute, Outstanding: 40 * time.Minute, FlowShare: 999.5}
	for i := range work.RouteCosts {
		work.RouteCosts[i] = gooseberrymast.RouteCost{Tag: 1<<31 + uint32(i), Cost: time.Hour + time.Duration(i)*time.Microsecond}
	}
	return work
}

// Expected work must arrive as it was sent, and a load without it must be encoded as by
// earlier builds.
func TestWorkRoundTrip(t *testing.T) {
	is := is.New(t)
	load := gooseberrymast.FlowLoad{Slots: 2, InProgress: 3, Flows: 50, Work: testWork()}
	read := roundTrip(t, Report(gooseberrymast.Report{Peer: testAgent(1), Load: load})).GetReport()
	is.Equal(ReadReport(read).Load, load)
	load.Work = gooseberrymast.WorkLoad{}
	is.True(proto.Equal(encodeLoad(load), &peer.Load{Slots: 2, InProgress: 3, Flows: 50}))
	// Lists of unequal or greater length are of a build to come.
	many := &peer.Load{CostUs: 1, RouteTags: make([]uint32, 9), RouteCostsUs: []uint32{7, 8}}
	work := decodeLoad(many).Work
	is.Equal(work.RouteCosts[1].Cost, 8*time.Microsecond)
	is.Equal(work.RouteCosts[2], gooseberrymast.RouteCost{})
	many.RouteCostsUs = make([]uint32, 9)
	is.Equal(len(decodeLoad(many).Work.RouteCosts), gooseberrymast.MaxRouteCosts)
	// Without a cost there is no work, whatever else is sent.
	is.Equal(decodeLoad(&peer.Load{OutstandingUs: 5, FlowPermille: 5}).Work, gooseberrymast.WorkLoad{})
}

// Earlier builds order documents by the store's revision. It must not be read as the
// operators' number, nor the number sent in its place.
func TestEarlierBuildsExchangeRevisionsOnly(t *testing.T) {
	is := is.New(t)
	report := Report(gooseberrymast.Report{Document: gooseberrymast.DocumentStatus{
		Version: gooseberrymast.DocumentVersion{Number: 14, Revision: 520, Digest: 3},
	}}).GetReport()
	is.Equal(report.GetDocumentVersion(), uint64(520))
	earlier := gooseberrymast.DocumentVersion{Revision: 520}
	is.Equal(ReadReport(&peer.Report{DocumentVersion: 520}).Document.Version, earlier)
	is.Equal(ReadSummary(&peer.Summary{DocumentVersion: 520}).Document.Version, earlier)
	routes := testRoutes(1)
	messages, err := Document(routes)
	is.NoErr(err)
	part := messages[0].GetDocumentPart()
	is.Equal(part.GetVersion(), routes.Version.Revision)
	sent := &peer.Document{}
	is.NoErr(proto.Unmarshal(part.GetData(), sent))
	is.Equal(sent.GetVersion(), routes.Version.Revision)
	data, err := proto.Marshal(&peer.Document{Version: 520})
	is.NoErr(err)
	var collector Collector
	read, err := collector.Add(&peer.DocumentPart{Version: 520, Count: 1, Data: data})
	is.NoErr(err)
	is.Equal(read.Version, earlier)
}

func TestRostersRoundTrip(t *testing.T) {
	is := is.New(t)
	var peers, read []gooseberrymast.Peer
	for i := range 100 {
		peers = append(peers, testAgent(i))
	}
	for _, message := range Rosters(peers) {
		read = append(read, ReadRoster(roundTrip(t, message).GetRoster())...)
	}
	is.Equal(read, peers)
}

func TestOwnersRoundTrip(t *testing.T) {
	is := is.New(t)
	var held []gooseberrymast.FlowKey
	for i := range 50 {
		held = append(held, gooseberrymast.FlowKey{Caller: testEndpoint(i), Service: testEndpoint(999)})
	}
	owner, read := ReadOwners(roundTrip(t, Owners(testEndpoint(7), held)).GetOwners())
	is.Equal(owner, testEndpoint(7))
	is.Equal(read, held)
}

func testRoutes(count int) *gooseberrymast.Routes {
	routes := &gooseberrymast.Routes{
		Version: gooseberrymast.DocumentVersion{Number: 12, Revision: 40, Digest: 1 << 62}, ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}, IdleTimeout: 15 * time.Second,
		HealthPaths: map[string]string{"ledger": "/healthz", "receipts": "/ok"},
		WarmUps:     map[string]gooseberrymast.WarmUp{"receipts": {Duration: 1500 * time.Millisecond, PerSecond: 20.5}},
	}
	for i := range count {
		route := gooseberrymast.Route{
			Address: testEndpoint(i), Idempotent: i%2 == 0, Timeout: 2 * time.Second, Objective: 250 * time.Millisecond, Priority: 1,
			Backends: []gooseberrymast.WeightedService{{Service: "ledger", Weight: 90}, {Service: "receipts", Weight: 10}},
		}
		routes.ByAddress[route.Address] = route
	}
	return routes
}

func TestDocumentPartsAssembleInAnyOrder(t *testing.T) {
	for _, count := range []int{1, 13, 400} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			routes := testRoutes(count)
			messages, err := Document(routes)
			is.NoErr(err)
			random := rand.New(rand.NewPCG(1, 2))
			random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
			var collector Collector
			var read *gooseberrymast.Routes
			for i, message := range messages {
				part := roundTrip(t, message).GetDocumentPart()
				is.Equal(read, nil)
				read, err = collector.Add(part)
				is.NoErr(err)
				if i < len(messages)-1 {
					read, err = collector.Add(part) // duplicate
					is.NoErr(err)
				}
			}
			is.Equal(read, routes)
		})
	}
}

// Where no service is limited the message must stay what earlier builds send, so that
// parts of both can be put together.
func TestDocumentWithoutWarmUpsIsUnchanged(t *testing.T) {
	is := is.New(t)
	routes := testRoutes(3)
	routes.WarmUps = nil
	message := encodeDocument(routes)
	is.Equal(len(message.GetWarmUpMs())+len(message.GetWarmUpPerSecond()), 0)
	read, err := decodeDocument(message)
	is.NoErr(err)
	is.Equal(read, routes)
}

func TestPartsOfOlderVersionAreIgnored(t *testing.T) {
	is := is.New(t)
	older, newer := testRoutes(100), testRoutes(101)
	newer.Version.Number++
	olderParts, err := Document(older)
	is.NoErr(err)
	newerParts, err := Document(newer)
	is.NoErr(err)
	var collector Collector
	_, err = collector.Add(olderParts[0].GetDocumentPart())
	is.NoErr(err)
	var read *gooseberrymast.Routes
	for _, message := range newerParts {
		late, err := collector.Add(olderParts[1].GetDocumentPart())
		is.NoErr(err)
		is.Equal(late, nil) // parts of an older version are ignored
		read, err = collector.Add(message.GetDocumentPart())
		is.NoErr(err)
	}
	is.Equal(read, newer)
}

// A process that requests the document from two peers receives parts of both. A document
// put together from two encodings lacks routes, and open flows of these are reset.
func TestPartsOfTwoSendersAreNotMixed(t *testing.T) {
	routes := testRoutes(100)
	other := testRoutes(100)
	for address, route := range other.ByAddress {
		route.Timeout += time.Millisecond // encoded as by another build
		other.ByAddress[address] = route
	}
	for name, second := range map[string]*gooseberrymast.Routes{"the same encoding": routes, "another encoding": other} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			earlier, err := Document(routes)
			is.NoErr(err)
			later, err := Document(second)
			is.NoErr(err)
			is.True(len(later) > 1)
			var collector Collector
			var read *gooseberrymast.Routes
			for _, message := range slices.Concat(earlier[:1], later[1:], later[:1]) {
				if added, err := collector.Add(message.GetDocumentPart()); err != nil || added != nil {
					is.NoErr(err)
					read = added
				}
			}
			is.Equal(read, second)
		})
	}
}

// A later document may have a lower revision, and two contents the same number.
func TestPartsOfOtherDocumentsAreNotMixed(t *testing.T) {
	is := is.New(t)
	older, newer := testRoutes(100), testRoutes(101)
	older.Version.Revision, newer.Version.Revision = 60, 50
	newer.Version.Number++
	same := testRoutes(101)
	same.Version = newer.Version
	same.Version.Digest++
	same.IdleTimeout++
	var parts [3][]*peer.Message
	for i, routes := range []*gooseberrymast.Routes{older, newer, same} {
		var err error
		parts[i], err = Document(routes)
		is.NoErr(err)
	}
	var collector Collector
	_, err := collector.Add(parts[2][0].GetDocumentPart())
	is.NoErr(err)
	var read *gooseberrymast.Routes
	for _, message := range parts[1] {
		late, err := collector.Add(parts[0][1].GetDocumentPart())
		is.NoErr(err)
		is.Equal(late, nil)
		read, err = collector.Add(message.GetDocumentPart())
		is.NoErr(err)
	}
	is.Equal(read, newer)
}

func TestMalformedPartsAreRejected(t *testing.T) {
	is := is.New(t)
	var collector Collector
	for _, part := range []*peer.DocumentPart{
		{}, {Count: 1, Index: 1}, {Count: maxParts + 1}, {Version: 1, Count: 1, Data: []byte{0xff}},
		{Version: 1, Count: 1, EncodingDigest: 5}, {Version: 1, Count: 1, Data: []byte{0xff}, EncodingDigest: xxhash.Sum64([]byte{0xff})},
	} {
		_, err := collector.Add(part)
		is.True(err != nil)
	}
	_, err := decodeDocument(&peer.Document{Routes: []*peer.Route{{Services: []uint32{3}, Weights: []uint32{1}}}})
	is.True(errors.Is(err, ErrMalformed)) // a service that the document doesn't list
}

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	served := Served{Addresses: []gooseberrymast.Endpoint{testEndpoint(3), testEndpoint(4)}, Server: "i-1/5", VerifiedEra: 3, SettledEra: 2}
	value, err := EncodeRecord(testAgent(1), served)
	is.NoErr(err)
	read, readServed, err := DecodeRecord(value)
	is.NoErr(err)
	is.Equal(readServed, served)
	want := testAgent(1)
	want.Incarnation, want.Sequence, want.State = 0, 0, gooseberrymast.StateStarting
	is.Equal(read, want) // without incarnation and sequence, a peer's own report takes precedence
	for _, bad := range []string{``, `[]`, `{"endpoint":"x"}`, `{"endpoint":"10.0.0.1:1","role":"owner"}`,
		`{"endpoint":"10.0.0.1:1","role":"agent","served":["x"]}`} {
		_, _, err := DecodeRecord([]byte(bad))
		is.True(err != nil)
	}
}

func FuzzDecode(f *testing.F) {
	datagram, err := Encode(Report(gooseberrymast.Report{Peer: testAgent(1)}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Add([]byte{wrapper.KindMessage, 0x2a, 0xff})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		message, err := Decode(datagram)
		if err != nil {
			return
		}
		ReadReport(message.GetReport())
		ReadRoster(message.GetRoster())
		ReadOwners(message.GetOwners())
	})
}
