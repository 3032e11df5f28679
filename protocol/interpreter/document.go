package interpreter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

// Document encodes routes as a document and returns messages with its parts.
func Document(routes *gooseberrymast.Routes) ([]*peer.Message, error) {
	data, err := proto.Marshal(encodeDocument(routes))
	if err != nil {
		return nil, fmt.Errorf("interpreter.Document: %w", err)
	}
	digest := xxhash.Sum64(data)
	parts := slices.Collect(slices.Chunk(data, maxPartBytes))
	messages := make([]*peer.Message, 0, len(parts))
	for i, part := range parts {
		messages = append(messages, &peer.Message{Body: &peer.Message_DocumentPart{DocumentPart: &peer.DocumentPart{
			Version:        routes.Version.Revision,
			Number:         routes.Version.Number,
			Digest:         routes.Version.Digest,
			Index:          uint32(i),
			Count:          uint32(len(parts)),
			Data:           part,
			EncodingDigest: digest,
		}}})
	}
	return messages, nil
}

// maxParts is the number of parts of the largest object that the store accepts.
const maxParts = gooseberrymast.MaxObjectBytes/maxPartBytes + 1

// Collector assembles a document from its parts. The zero value is ready to
// use.
type Collector struct {
	version gooseberrymast.DocumentVersion
	// encodingDigest is of the encoding that the parts are from.
	encodingDigest uint64
	parts          [][]byte
	missing        int
}

// Add adds a part. It returns the routes when no part is missing any more, and
// nil before that and for a part of an older version than the one in assembly. A part
// of another encoding of the same version replaces the one in assembly.
func (c *Collector) Add(part *peer.DocumentPart) (*gooseberrymast.Routes, error) {
	count, index := int(part.GetCount()), int(part.GetIndex())
	if count == 0 || count > maxParts || index >= count {
		return nil, fmt.Errorf("Collector.Add: part %d of %d: %w", index, count, ErrMalformed)
	}
	version := gooseberrymast.DocumentVersion{Number: part.GetNumber(), Revision: part.GetVersion(), Digest: part.GetDigest()}
	if c.version.Newer(version) {
		return nil, nil
	}
	if !version.Same(c.version) || part.GetEncodingDigest() != c.encodingDigest || len(c.parts) != count {
		*c = Collector{version: version, encodingDigest: part.GetEncodingDigest(), parts: make([][]byte, count), missing: count}
	}
	if c.parts[index] == nil {
		c.parts[index] = part.GetData()
		c.missing--
	}
	if c.missing > 0 {
		return nil, nil
	}
	data := slices.Concat(c.parts...)
	*c = Collector{}
	// Earlier versions send no digest and encode the same routes in any order, so
	// parts of two senders could be mixed.
	if digest := part.GetEncodingDigest(); digest != xxhash.Sum64(data) && (digest != 0 || count > 1) {
		return nil, fmt.Errorf("Collector.Add: encoding digest of version %d: %w", part.GetVersion(), ErrMalformed)
	}
	message := &peer.Document{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("Collector.Add: %w", err)
	}
	return decodeDocument(message)
}

// documentStatusMessage is a message that contains a DocumentStatus.
type documentStatusMessage interface {
	GetDocumentVersion() uint64
	GetDocumentNumber() uint64
	GetDocumentDigest() uint64
	GetDocumentAgeMs() uint32
	GetDocumentConfirmed() bool
	GetDocumentReadAgeMs() uint32
	GetDocumentRead() bool
	GetStoreEra() uint64
	GetSettledEra() uint64
}

func readDocumentStatus(message documentStatusMessage) gooseberrymast.DocumentStatus {
	return gooseberrymast.DocumentStatus{
		Version: gooseberrymast.DocumentVersion{
			Number: message.GetDocumentNumber(), Revision: message.GetDocumentVersion(), Digest: message.GetDocumentDigest(),
		},
		Age:        time.Duration(message.GetDocumentAgeMs()) * time.Millisecond,
		Confirmed:  message.GetDocumentConfirmed(),
		ReadAge:    time.Duration(message.GetDocumentReadAgeMs()) * time.Millisecond,
		Read:       message.GetDocumentRead(),
		StoreEra:   message.GetStoreEra(),
		SettledEra: message.GetSettledEra(),
	}
}

// encodeDocument encodes routes. All processes that hold the same routes encode them
// alike.
func encodeDocument(routes *gooseberrymast.Routes) *peer.Document {
	message := &peer.Document{
		Version: routes.Version.Revision, Number: routes.Version.Number, Digest: routes.Version.Digest,
		IdleMillis: uint32(routes.IdleTimeout.Milliseconds()),
	}
	indexes := map[string]uint32{}
	indexOf := func(service string) uint32 {
		if i, ok := indexes[service]; ok {
			return i
		}
		indexes[service] = uint32(len(message.Services))
		message.Services = append(message.Services, service)
		message.HealthPaths = append(message.HealthPaths, routes.HealthPaths[service])
		if len(routes.WarmUps) > 0 {
			warmUp := routes.WarmUps[service]
			message.WarmUpMs = append(message.WarmUpMs, uint32(warmUp.Duration.Milliseconds()))
			message.WarmUpPerSecond = append(message.WarmUpPerSecond, warmUp.PerSecond)
		}
		return indexes[service]
	}
	for _, address := range slices.SortedFunc(maps.Keys(routes.ByAddress), gooseberrymast.Endpoint.Compare) {
		route := routes.ByAddress[address]
		encoded := &peer.Route{
			Address:     encodeEndpoint(route.Address),
			Idempotent:  route.Idempotent,
			TimeoutMs:   uint32(route.Timeout.Milliseconds()),
			ObjectiveMs: uint32(route.Objective.Milliseconds()),
			Priority:    int32(route.Priority),
		}
		for _, backend := range route.Backends {
			encoded.Services = append(encoded.Services, indexOf(backend.Service))
			encoded.Weights = append(encoded.Weights, backend.Weight)
		}
		message.Routes = append(message.Routes, encoded)
	}
	return message
}

func decodeDocument(message *peer.Document) (*gooseberrymast.Routes, error) {
	routes := &gooseberrymast.Routes{
		Version: gooseberrymast.DocumentVersion{
			Number: message.GetNumber(), Revision: message.GetVersion(), Digest: message.GetDigest(),
		},
		ByAddress:   make(map[gooseberrymast.Endpoint]gooseberrymast.Route, len(message.GetRoutes())),
		IdleTimeout: time.Duration(message.GetIdleMillis()) * time.Millisecond,
		HealthPaths: map[string]string{},
	}
	services := message.GetServices()
	for i, path := range message.GetHealthPaths() {
		if i < len(services) {
			routes.HealthPaths[services[i]] = path
		}
	}
	rates := message.GetWarmUpPerSecond()
	for i, duration := range message.GetWarmUpMs() {
		if i < len(services) && i < len(rates) && rates[i] > 0 {
			routes.SetWarmUp(services[i], gooseberrymast.WarmUp{Duration: time.Duration(duration) * time.Millisecond, PerSecond: rates[i]})
		}
	}
	for _, encoded := range message.GetRoutes() {
		route := gooseberrymast.Route{
			Address:    decodeEndpoint(encoded.GetAddress()),
			Idempotent: encoded.GetIdempotent(),
			Timeout:    time.Duration(encoded.GetTimeoutMs()) * time.Millisecond,
			Objective:  time.Duration(encoded.GetObjectiveMs()) * time.Millisecond,
			Priority:   int(encoded.GetPriority()),
		}
		for i, service := range encoded.GetServices() {
			if int(service) >= len(services) || i >= len(encoded.GetWeights()) {
				return nil, fmt.Errorf("decodeDocument: route %s: %w", route.Address, ErrMalformed)
			}
			route.Backends = append(route.Backends, gooseberrymast.WeightedService{
				Service: services[service], Weight: encoded.GetWeights()[i],
			})
		}
		routes.ByAddress[route.Address] = route
	}
	return routes, nil
}
