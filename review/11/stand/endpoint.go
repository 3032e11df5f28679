package main

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

const (
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
	maxSegment          = 1200
	maxInFlight         = 16
)

// stream is one end's state of a flow's bytes. Its owner's lock guards it.
type stream struct {
	// next is the sequence number of the next byte to send, and expected the next one to
	// receive.
	next, expected uint32
	unacked        []segment
	queued         []segment
	received       []byte
	// ahead holds data that arrived before what precedes it.
	ahead map[uint32][]byte
	send  func(flags byte, seq, ack uint32, data []byte)
}

type segment struct {
	seq   uint32
	data  []byte
	sent  time.Time
	tries int
}

func (s *stream) write(data []byte) {
	for len(data) > 0 {
		part := data[:min(len(data), maxSegment)]
		data = data[len(part):]
		s.queued = append(s.queued, segment{seq: s.next, data: part})
		s.next += uint32(len(part))
	}
	s.flush()
}

func (s *stream) flush() {
	for len(s.queued) > 0 && len(s.unacked) < maxInFlight {
		next := s.queued[0]
		s.queued = s.queued[1:]
		next.sent = time.Now()
		s.unacked = append(s.unacked, next)
		s.send(flagAck, next.seq, s.expected, next.data)
	}
}

// handle processes a packet's acknowledgement and data.
func (s *stream) handle(p packet) {
	for len(s.unacked) > 0 && int32(p.ack-s.unacked[0].seq-uint32(len(s.unacked[0].data))) >= 0 {
		s.unacked = s.unacked[1:]
	}
	if len(p.data) > 0 {
		if s.ahead == nil {
			s.ahead = map[uint32][]byte{}
		}
		if int32(p.seq-s.expected) >= 0 {
			s.ahead[p.seq] = p.data
		}
		for data, ok := s.ahead[s.expected]; ok; data, ok = s.ahead[s.expected] {
			delete(s.ahead, s.expected)
			s.received = append(s.received, data...)
			s.expected += uint32(len(data))
		}
		s.send(flagAck, s.next, s.expected, nil)
	}
	s.flush()
}

// retransmit sends again what was not acknowledged in time. It reports false if the end
// gives up.
func (s *stream) retransmit(now time.Time) bool {
	for i := range s.unacked {
		late := &s.unacked[i]
		if now.Sub(late.sent) < min(firstRetransmission<<late.tries, maxRetransmission) {
			continue
		}
		if late.tries == maxRetransmissions {
			return false
		}
		late.tries++
		late.sent = now
		s.send(flagAck, late.seq, s.expected, late.data)
	}
	return true
}

// message takes the next whole HTTP message from what was received.
func (s *stream) message() (head string, body []byte, ok bool) {
	end := bytes.Index(s.received, []byte("\r\n\r\n"))
	if end < 0 {
		return "", nil, false
	}
	head = string(s.received[:end+2])
	length, _ := strconv.Atoi(headerOf(head, "Content-Length"))
	whole := end + 4 + length
	if len(s.received) < whole {
		return "", nil, false
	}
	body = s.received[end+4 : whole]
	s.received = s.received[whole:]
	return head, body, true
}

func headerOf(head, name string) string {
	_, rest, found := bytes.Cut([]byte(head), []byte("\r\n"+name+": "))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}

func httpMessage(first string, body []byte, headers ...string) []byte {
	text := first + "\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	return append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", text, len(body))), body...)
}
