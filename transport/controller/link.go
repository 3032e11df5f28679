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

// queueLength bounds the messages that wait for a slow peer. A session that
// has more is closed; its news is repaired over the next one.
const queueLength = 256

// writeTimeout bounds the write of one message.
const writeTimeout = 5 * time.Second

// link is one control session: a stream with its queue of messages to send.
type link struct {
	controller *Controller
	id         messenger.Session
	stream     *linker.Stream
	// session is closed with the link; nil for one that the peer opened.
	session *linker.Session
	queue   chan *messenger.Message
	// closed is closed when the link ends.
	closed chan struct{}
	once   sync.Once
}

// dial connects to a control address and reports how that ended.
func (c *Controller) dial(address netip.AddrPort) {
	defer c.running.Done()
	session, err := linker.DialHeartbeats(c.ctx, address, c.config.Keys)
	var stream *linker.Stream
	if err == nil {
		stream, err = session.OpenStream(linker.KindControl)
		if err != nil {
			session.Close()
		}
	}
	if err != nil {
		c.counts.dials.WithLabelValues("failed").Inc()
		log.Debug().Err(err).Str("peer", address.String()).Msg("control session refused")
		c.post(func(now time.Time) member.Actions { return c.member.Refused(now, address) })
		return
	}
	c.counts.dials.WithLabelValues("ok").Inc()
	l := c.open(stream, session)
	c.register(l, address)
	l.read()
}

// accept serves a control session that a peer opened.
func (c *Controller) accept(_ context.Context, _ netip.AddrPort, stream *linker.Stream) {
	if !c.begin() {
		return
	}
	defer c.running.Done()
	l := c.open(stream, nil)
	c.register(l, netip.AddrPort{})
	l.read()
}

func (c *Controller) open(stream *linker.Stream, session *linker.Session) *link {
	l := &link{
		controller: c,
		stream:     stream,
		session:    session,
		queue:      make(chan *messenger.Message, queueLength),
		closed:     make(chan struct{}),
	}
	c.running.Add(1)
	go l.write()
	return l
}

// register tells the member of a new link and waits until it knows it.
func (c *Controller) register(l *link, address netip.AddrPort) {
	done := make(chan struct{})
	c.post(func(now time.Time) member.Actions {
		defer close(done)
		c.last++
		l.id = c.last
		c.links[l.id] = l
		return c.member.Connected(now, l.id, address)
	})
	select {
	case <-done:
	case <-c.ctx.Done():
		l.abort()
	}
}

// read passes the peer's messages on until the link ends.
func (l *link) read() {
	c := l.controller
	err := l.readMessages()
	l.abort()
	if err != nil && !errors.Is(err, io.EOF) && c.ctx.Err() == nil {
		log.Debug().Err(err).Msg("control session ended")
	}
	c.post(func(now time.Time) member.Actions {
		delete(c.links, l.id)
		return c.member.Closed(now, l.id)
	})
}

func (l *link) readMessages() error {
	c := l.controller
	for {
		var frame control.Message
		if err := linker.ReadMessage(l.stream, &frame); err != nil {
			return fmt.Errorf("link.read from %s: %w", l.stream.Peer, err)
		}
		c.counts.received(&frame)
		message, err := translator.Decode(&frame)
		if err != nil {
			return fmt.Errorf("link.read from %s: %w", l.stream.Peer, err)
		}
		c.post(func(now time.Time) member.Actions { return c.member.Received(now, l.id, message) })
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
		l.controller.counts.overflows.Inc()
		l.abort()
	}
}

// finish ends the link after the queued messages were sent. Nothing may be
// sent after it.
func (l *link) finish() {
	close(l.queue)
}

// write sends the queued messages until the link ends.
func (l *link) write() {
	defer l.controller.running.Done()
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
	l.controller.counts.sent(frame)
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
	l.once.Do(func() {
		close(l.closed)
		// The far side may have closed both already.
		_ = l.stream.Close()
		_ = l.stream.SetReadDeadline(time.Now())
		if l.session != nil {
			_ = l.session.Close()
		}
	})
}
