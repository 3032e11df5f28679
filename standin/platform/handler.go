package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/objects"
	"gooseberrymast/protocol/messages/objects/objectsconnect"
)

// Control paths of the stand-in. They are not part of the object API.
const (
	// PathFaults returns the Faults as JSON on GET and replaces them on PUT.
	PathFaults = "/faults"
	// PathCalls returns the Calls as JSON.
	PathCalls = "/calls"
)

// Handler returns a handler for the object API, PathFaults and PathCalls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(objectsconnect.NewObjectServiceHandler(&service{platform: p}))
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, p.putFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// Protocols returns the protocols that a server of Handler should support:
// HTTP/1.1, and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

func (p *Platform) putFaults(w http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// service implements the object API on top of a Platform.
type service struct {
	platform *Platform
}

func (s *service) Get(ctx context.Context, request *connect.Request[objects.GetRequest]) (*connect.Response[objects.GetResponse], error) {
	found, err := s.platform.Get(ctx, request.Msg.GetKey())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&objects.GetResponse{Object: toMessage(found)}), nil
}

func (s *service) List(ctx context.Context, request *connect.Request[objects.ListRequest]) (*connect.Response[objects.ListResponse], error) {
	found, err := s.platform.List(ctx, request.Msg.GetPrefix())
	if err != nil {
		return nil, toConnectError(err)
	}
	response := &objects.ListResponse{}
	for _, object := range found {
		response.Objects = append(response.Objects, toMessage(object))
	}
	return connect.NewResponse(response), nil
}

func (s *service) Put(ctx context.Context, request *connect.Request[objects.PutRequest]) (*connect.Response[objects.PutResponse], error) {
	written := request.Msg.GetObject()
	version, err := s.platform.Put(ctx, gooseberrymast.Object{
		Key: written.GetKey(), WriteID: written.GetWriteId(), Value: written.GetValue(),
	}, request.Msg.GetExpected())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&objects.PutResponse{Version: version}), nil
}

func (s *service) Delete(ctx context.Context, request *connect.Request[objects.DeleteRequest]) (*connect.Response[objects.DeleteResponse], error) {
	if err := s.platform.Delete(ctx, request.Msg.GetKey(), request.Msg.GetExpected()); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&objects.DeleteResponse{}), nil
}

func (s *service) Watch(ctx context.Context, request *connect.Request[objects.WatchRequest]) (*connect.Response[objects.WatchResponse], error) {
	found, err := s.platform.Watch(ctx, request.Msg.GetKey(), request.Msg.GetAfter())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&objects.WatchResponse{Object: toMessage(found)}), nil
}

func toMessage(object gooseberrymast.Object) *objects.Object {
	return &objects.Object{Key: object.Key, Version: object.Version, WriteId: object.WriteID, Value: object.Value}
}

// toConnectError wraps err in a Connect error with the matching code. An unknown
// outcome is reported as unavailable, as a lost connection would be.
func toConnectError(err error) error {
	switch {
	case errors.Is(err, gooseberrymast.ErrStoreNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, gooseberrymast.ErrStoreConflict):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrTooLarge):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
