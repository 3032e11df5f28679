package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast/coordination/member"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/transport/linker"
)

// maxQueuedMessages bounds the messages that wait for a slow peer. A session
// that exceeds it is closed; the lost updates are repaired over the next one.
const maxQueuedMessages = 256

// writeTimeout bounds the write of one message.
const writeTimeout = 5 * time.Second

// link is one control session: a stream with its queue of messages to send.
type link struct {
	controller *Controller
	id         messenger.Session
	stream     *linker.Stream
	// session is closed with the link; nil if the peer opened it.
	session *linker.Session
	queue   chan *messenger.Message
	// closed is closed when the link ends.
	closed    chan struct{}
	abortOnce sync.Once
}

// dial connects to a control address and reads from the session until it ends.
// A failure is reported to the member.
func (c *Controller) dial(address netip.AddrPort) {
	defer c.goroutines.Done()
	session, err := linker.DialHeartbeats(c.ctx, address, c.config.Keys)
	var stream *linker.Stream
	if err == nil {
		stream, err = session.OpenStream(linker.KindControl)
		if err != nil {
			session.Close()
		}
	}
	if err != nil {
		c.metrics.dials.WithLabelValues("failed").Inc()
		log.Debug().Err(err).Str("peer", address.String()).Msg("control session refused")
		c.post(func(now time.Time) member.Actions { return c.member.HandleDialFailure(now, address) })
		return
	}
	c.metrics.dials.WithLabelValues("ok").Inc()
	l := c.startLink(stream, session)
	c.addLink(l, address)
	l.read()
}

// accept handles a control session that a peer opened.
func (c *Controller) accept(_ context.Context, _ netip.AddrPort, stream *linker.Stream) {
	if !c.addGoroutine() {
		return
	}
	defer c.goroutines.Done()
	l := c.startLink(stream, nil)
	c.addLink(l, netip.AddrPort{})
	l.read()
}

func (c *Controller) startLink(stream *linker.Stream, session *linker.Session) *link {
	l := &link{
		controller: c,
		stream:     stream,
		session:    session,
		queue:      make(chan *messenger.Message, maxQueuedMessages),
		closed:     make(chan struct{}),
	}
	c.goroutines.Add(1)
	go l.write()
	return l
}

// addLink registers a new link with the member and waits until that is done.
func (c *Controller) addLink(l *link, address netip.AddrPort) {
	done := make(chan struct{})
	c.post(func(now time.Time) member.Actions {
		defer close(done)
		c.lastSession++
		l.id = c.lastSession
		c.links[l.id] = l
		return c.member.HandleConnection(now, l.id, address)
	})
	select {
	case <-done:
	case <-c.ctx.Done():
		l.abort()
	}
}

// read passes the peer's messages to the member until the link ends.
func (l *link) read() {
	c := l.controller
	err := l.readMessages()
	l.abort()
	if err != nil && !errors.Is(err, io.EOF) && c.ctx.Err() == nil {
		log.Debug().Err(err).Msg("control session ended")
	}
	c.post(func(now time.Time) member.Actions {
		delete(c.links, l.id)
		return c.member.HandleClose(now, l.id)
	})
}

func (l *link) readMessages() error {
	c := l.controller
	for {
		var frame control.Message
		if err := linker.ReadMessage(l.stream, &frame); err != nil {
			return fmt.Errorf("link.read from %s: %w", l.stream.Peer, err)
		}
		c.metrics.received(&frame)
		message, err := translator.Decode(&frame)
		if err != nil {
			return fmt.Errorf("link.read from %s: %w", l.stream.Peer, err)
		}
		c.post(func(now time.Time) member.Actions { return c.member.HandleMessage(now, l.id, message) })
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
	}
}

// send queues a message, or ends the link when the queue is full.
func (l *link) send(message *messenger.Message) {
	select {
	case l.queue <- message:
	default:
		l.controller.metrics.overflows.Inc()
		l.abort()
	}
}

// closeAfterQueue ends the link once the queued messages have been sent. send
// must not be called after it.
func (l *link) closeAfterQueue() {
	close(l.queue)
}

// write sends the queued messages until the link ends.
func (l *link) write() {
	defer l.controller.goroutines.Done()
	defer l.abort()
	for {
		select {
		case <-l.closed:
			return
		case message, open := <-l.queue:
			if !open || l.writeMessage(message) != nil {
				return
			}
		}
	}
}

func (l *link) writeMessage(message *messenger.Message) error {
	frame := translator.Encode(message)
	l.controller.metrics.sent(frame)
	if err := l.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("link.write to %s: %w", l.stream.Peer, err)
	}
	if err := linker.WriteMessage(l.stream, frame); err != nil {
		log.Debug().Err(err).Msg("control session ended")
		return err
	}
	return nil
}

// abort ends the link at once.
func (l *link) abort() {
	l.abortOnce.Do(func() {
		close(l.closed)
		// The peer may have closed both already.
		_ = l.stream.Close()
		_ = l.stream.SetReadDeadline(time.Now())
		if l.session != nil {
			_ = l.session.Close()
		}
	})
}
