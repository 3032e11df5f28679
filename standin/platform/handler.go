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

// The paths at which the stand-in's own state is read and changed.
const (
	// PathFaults gives the Faults as JSON, and takes them by PUT.
	PathFaults = "/faults"
	// PathCalls gives the Calls as JSON.
	PathCalls = "/calls"
)

// Handler serves the object API and the paths above.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(objectsconnect.NewObjectServiceHandler(&service{platform: p}))
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, p.putFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// Protocols are those that a server of Handler should speak: HTTP/1.1, and
// HTTP/2 without TLS.
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
	// The client is gone when this fails.
	_ = json.NewEncoder(w).Encode(value)
}

// service answers the object API from a platform.
type service struct {
	platform *Platform
}

func (s *service) Get(ctx context.Context, request *connect.Request[objects.GetRequest]) (*connect.Response[objects.GetResponse], error) {
	found, err := s.platform.Get(ctx, request.Msg.GetKey())
	if err != nil {
		return nil, code(err)
	}
	return connect.NewResponse(&objects.GetResponse{Object: message(found)}), nil
}

func (s *service) List(ctx context.Context, request *connect.Request[objects.ListRequest]) (*connect.Response[objects.ListResponse], error) {
	found, err := s.platform.List(ctx, request.Msg.GetPrefix())
	if err != nil {
		return nil, code(err)
	}
	response := &objects.ListResponse{}
	for _, object := range found {
		response.Objects = append(response.Objects, message(object))
	}
	return connect.NewResponse(response), nil
}

func (s *service) Put(ctx context.Context, request *connect.Request[objects.PutRequest]) (*connect.Response[objects.PutResponse], error) {
	written := request.Msg.GetObject()
	version, err := s.platform.Put(ctx, gooseberrymast.Object{
		Key: written.GetKey(), WriteID: written.GetWriteId(), Value: written.GetValue(),
	}, request.Msg.GetExpected())
	if err != nil {
		return nil, code(err)
	}
	return connect.NewResponse(&objects.PutResponse{Version: version}), nil
}

func (s *service) Delete(ctx context.Context, request *connect.Request[objects.DeleteRequest]) (*connect.Response[objects.DeleteResponse], error) {
	if err := s.platform.Delete(ctx, request.Msg.GetKey(), request.Msg.GetExpected()); err != nil {
		return nil, code(err)
	}
	return connect.NewResponse(&objects.DeleteResponse{}), nil
}

func (s *service) Watch(ctx context.Context, request *connect.Request[objects.WatchRequest]) (*connect.Response[objects.WatchResponse], error) {
	found, err := s.platform.Watch(ctx, request.Msg.GetKey(), request.Msg.GetAfter())
	if err != nil {
		return nil, code(err)
	}
	return connect.NewResponse(&objects.WatchResponse{Object: message(found)}), nil
}

func message(object gooseberrymast.Object) *objects.Object {
	return &objects.Object{Key: object.Key, Version: object.Version, WriteId: object.WriteID, Value: object.Value}
}

// code gives the error its code on the wire. An unknown outcome is reported as
// a lost connection would be.
func code(err error) error {
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
