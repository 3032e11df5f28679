package interpreter

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

// Document makes the messages that carry routes, in parts.
func Document(routes *gooseberrymast.Routes) ([]*peer.Message, error) {
	data, err := proto.Marshal(document(routes))
	if err != nil {
		return nil, fmt.Errorf("interpreter.Document: %w", err)
	}
	parts := slices.Collect(slices.Chunk(data, maxPart))
	messages := make([]*peer.Message, 0, len(parts))
	for i, part := range parts {
		messages = append(messages, &peer.Message{Body: &peer.Message_DocumentPart{DocumentPart: &peer.DocumentPart{
			Version: routes.Version,
			Index:   uint32(i),
			Count:   uint32(len(parts)),
			Data:    part,
		}}})
	}
	return messages, nil
}

// maxParts bounds the parts of a document: the largest object of the store.
const maxParts = gooseberrymast.MaxObjectBytes/maxPart + 1

// Collector puts the parts of a document together. The zero value is ready.
type Collector struct {
	version uint64
	parts   [][]byte
	missing int
}

// Add takes a part and gives the routes once it was the last one that lacked.
func (c *Collector) Add(part *peer.DocumentPart) (*gooseberrymast.Routes, error) {
	count, index := int(part.GetCount()), int(part.GetIndex())
	if count == 0 || count > maxParts || index >= count {
		return nil, fmt.Errorf("Collector.Add: part %d of %d: %w", index, count, ErrMalformed)
	}
	if part.GetVersion() < c.version {
		return nil, nil
	}
	if part.GetVersion() != c.version || len(c.parts) != count {
		*c = Collector{version: part.GetVersion(), parts: make([][]byte, count), missing: count}
	}
	if c.parts[index] == nil {
		c.parts[index] = part.GetData()
		c.missing--
	}
	if c.missing > 0 {
		return nil, nil
	}
	message := &peer.Document{}
	err := proto.Unmarshal(slices.Concat(c.parts...), message)
	*c = Collector{}
	if err != nil {
		return nil, fmt.Errorf("Collector.Add: %w", err)
	}
	return readDocument(message)
}

func document(routes *gooseberrymast.Routes) *peer.Document {
	message := &peer.Document{Version: routes.Version, IdleMillis: uint32(routes.IdleTimeout.Milliseconds())}
	index := map[string]uint32{}
	indexOf := func(service string) uint32 {
		if known, ok := index[service]; ok {
			return known
		}
		index[service] = uint32(len(message.Services))
		message.Services = append(message.Services, service)
		message.HealthPaths = append(message.HealthPaths, routes.HealthPaths[service])
		return index[service]
	}
	for _, route := range routes.ByAddress {
		encoded := &peer.Route{
			Address:     number(route.Address),
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

func readDocument(message *peer.Document) (*gooseberrymast.Routes, error) {
	routes := &gooseberrymast.Routes{
		Version:     message.GetVersion(),
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
	for _, encoded := range message.GetRoutes() {
		route := gooseberrymast.Route{
			Address:    endpoint(encoded.GetAddress()),
			Idempotent: encoded.GetIdempotent(),
			Timeout:    time.Duration(encoded.GetTimeoutMs()) * time.Millisecond,
			Objective:  time.Duration(encoded.GetObjectiveMs()) * time.Millisecond,
			Priority:   int(encoded.GetPriority()),
		}
		for i, service := range encoded.GetServices() {
			if int(service) >= len(services) || i >= len(encoded.GetWeights()) {
				return nil, fmt.Errorf("readDocument: route %s: %w", route.Address, ErrMalformed)
			}
			route.Backends = append(route.Backends, gooseberrymast.WeightedService{
				Service: services[service], Weight: encoded.GetWeights()[i],
			})
		}
		routes.ByAddress[route.Address] = route
	}
	return routes, nil
}
