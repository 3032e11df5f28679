// Package storer is the client of the platform's object API.
package storer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/objects"
	"gooseberrymast/protocol/messages/objects/objectsconnect"
)

// DefaultTimeout bounds every call but Watch.
const DefaultTimeout = 3 * time.Second

// A connection that received nothing for pingInterval is pinged, and closed
// after pingTimeout without an answer, so that a broken connection doesn't block
// calls.
const (
	pingInterval = 15 * time.Second
	pingTimeout  = 5 * time.Second
)

// ErrTooLarge means that a value is longer than gooseberrymast.MaxObjectBytes.
var ErrTooLarge = errors.New("the value is too large")

// Storer implements gooseberrymast.Store. Its fields must be set before the
// first call.
type Storer struct {
	// Address is the base URL of the API, such as http://10.0.0.1:9000.
	Address string
	// Timeout bounds every call but Watch; zero means DefaultTimeout.
	Timeout time.Duration

	once     sync.Once
	client   objectsconnect.ObjectServiceClient
	counters *prometheus.CounterVec
}

// Register registers the counters of calls by method and outcome.
func (s *Storer) Register(registerer prometheus.Registerer) error {
	s.init()
	if err := registerer.Register(s.counters); err != nil {
		return fmt.Errorf("Storer.Register: %w", err)
	}
	return nil
}

// Get implements gooseberrymast.Store.
func (s *Storer) Get(ctx context.Context, key string) (gooseberrymast.Object, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	response, err := s.client.Get(ctx, connect.NewRequest(&objects.GetRequest{Key: key}))
	if err != nil {
		return gooseberrymast.Object{}, s.callError("get", key, classifyReadError(err))
	}
	s.count("get", "ok")
	return newObject(response.Msg.GetObject()), nil
}

// List implements gooseberrymast.Store.
func (s *Storer) List(ctx context.Context, prefix string) ([]gooseberrymast.Object, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	response, err := s.client.List(ctx, connect.NewRequest(&objects.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, s.callError("list", prefix, classifyReadError(err))
	}
	s.count("list", "ok")
	list := make([]gooseberrymast.Object, 0, len(response.Msg.GetObjects()))
	for _, found := range response.Msg.GetObjects() {
		list = append(list, newObject(found))
	}
	return list, nil
}

// Put implements gooseberrymast.Store.
func (s *Storer) Put(ctx context.Context, written gooseberrymast.Object, expected uint64) (uint64, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	if len(written.Value) > gooseberrymast.MaxObjectBytes {
		return 0, fmt.Errorf("Storer.Put %s: %d bytes: %w", written.Key, len(written.Value), ErrTooLarge)
	}
	response, err := s.client.Put(ctx, connect.NewRequest(&objects.PutRequest{
		Object:   &objects.Object{Key: written.Key, WriteId: written.WriteID, Value: written.Value},
		Expected: expected,
	}))
	if err != nil {
		return 0, s.callError("put", written.Key, classifyWriteError(err))
	}
	s.count("put", "ok")
	return response.Msg.GetVersion(), nil
}

// Delete implements gooseberrymast.Store.
func (s *Storer) Delete(ctx context.Context, key string, expected uint64) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	_, err := s.client.Delete(ctx, connect.NewRequest(&objects.DeleteRequest{Key: key, Expected: expected}))
	if err != nil {
		return s.callError("delete", key, classifyWriteError(err))
	}
	s.count("delete", "ok")
	return nil
}

// Watch implements gooseberrymast.Store.
func (s *Storer) Watch(ctx context.Context, key string, after uint64) (gooseberrymast.Object, error) {
	s.init()
	response, err := s.client.Watch(ctx, connect.NewRequest(&objects.WatchRequest{Key: key, After: after}))
	if err != nil {
		return gooseberrymast.Object{}, s.callError("watch", key, classifyWatchError(err))
	}
	s.count("watch", "ok")
	return newObject(response.Msg.GetObject()), nil
}

func (s *Storer) init() {
	s.once.Do(func() {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		protocols.SetHTTP2(true)
		client := &http.Client{Transport: &http.Transport{
			Protocols: protocols,
			HTTP2:     &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		}}
		s.client = objectsconnect.NewObjectServiceClient(client, s.Address)
		s.counters = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_store_calls_total",
			Help: "Calls to the platform's store by method and outcome.",
		}, []string{"method", "outcome"})
	})
}

func (s *Storer) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	s.init()
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

func (s *Storer) callError(method, key string, err error) error {
	s.count(method, gooseberrymast.StoreOutcome(err))
	return fmt.Errorf("Storer.%s %s at %s: %w", method, key, s.Address, err)
}

func (s *Storer) count(method, outcome string) {
	s.counters.WithLabelValues(method, outcome).Inc()
}

// classifyReadError maps the error of a read to a store error.
func classifyReadError(err error) error {
	if connect.CodeOf(err) == connect.CodeNotFound {
		return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreNotFound, err)
	}
	return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreUnavailable, err)
}

// classifyWatchError distinguishes a watch that ended without a change, by
// context.DeadlineExceeded, from one that failed.
func classifyWatchError(err error) error {
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return classifyReadError(err)
}

// classifyWriteError maps the error of a write to a store error. Only a write
// that the store rejected, or that was never sent, is certain to have had no
// effect; for any other error the outcome is unknown.
func classifyWriteError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreConflict, err)
	case connect.CodeNotFound:
		return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreNotFound, err)
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreUnavailable, err)
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreUnavailable, err)
	}
	return fmt.Errorf("%w: %w", gooseberrymast.ErrStoreUnknown, err)
}

func newObject(found *objects.Object) gooseberrymast.Object {
	return gooseberrymast.Object{
		Key:     found.GetKey(),
		Version: found.GetVersion(),
		WriteID: found.GetWriteId(),
		Value:   found.GetValue(),
	}
}
