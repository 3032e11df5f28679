package controller

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"gooseberrymast/coordination/member"
	"gooseberrymast/protocol/messages/control"
)

// counts are the metrics of a controller.
type counts struct {
	bytes     *prometheus.CounterVec
	messages  *prometheus.CounterVec
	dials     *prometheus.CounterVec
	overflows prometheus.Counter
}

func (n *counts) init() {
	n.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_bytes_total",
		Help: "Bytes of messages on control sessions by direction and kind.",
	}, []string{"direction", "kind"})
	n.messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_messages_total",
		Help: "Messages on control sessions by direction and kind.",
	}, []string{"direction", "kind"})
	n.dials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_dials_total",
		Help: "Control sessions that this process opened, by outcome.",
	}, []string{"outcome"})
	n.overflows = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrymast_control_overflows_total",
		Help: "Control sessions closed because the peer read too slowly.",
	})
}

func (n *counts) sent(frame *control.Message) {
	n.count("sent", frame)
}

func (n *counts) received(frame *control.Message) {
	n.count("received", frame)
}

func (n *counts) count(direction string, frame *control.Message) {
	kind := kindOf(frame)
	n.bytes.WithLabelValues(direction, kind).Add(float64(proto.Size(frame)))
	n.messages.WithLabelValues(direction, kind).Inc()
}

func kindOf(frame *control.Message) string {
	body := frame.ProtoReflect().WhichOneof(frame.ProtoReflect().Descriptor().Oneofs().ByName("body"))
	if body == nil {
		return "unknown"
	}
	return string(body.Name())
}

// Register adds the controller's metrics.
func (c *Controller) Register(registerer prometheus.Registerer) error {
	collectors := []prometheus.Collector{c.counts.bytes, c.counts.messages, c.counts.dials, c.counts.overflows, &collector{c}}
	for _, each := range collectors {
		if err := registerer.Register(each); err != nil {
			return fmt.Errorf("Controller.Register: %w", err)
		}
	}
	return nil
}

// collector gives the member's counters.
type collector struct {
	controller *Controller
}

var (
	eventsDesc = prometheus.NewDesc("gooseberrymast_membership_events_total",
		"What happened to the membership, by event.", []string{"event"}, nil)
	revisionDesc = prometheus.NewDesc("gooseberrymast_revision_in_force",
		"The revision in force, or zero.", nil, nil)
	recordsDesc = prometheus.NewDesc("gooseberrymast_records",
		"The records that this process holds.", nil, nil)
)

// Describe implements prometheus.Collector.
func (o *collector) Describe(descs chan<- *prometheus.Desc) {
	descs <- eventsDesc
	descs <- revisionDesc
	descs <- recordsDesc
}

// Collect implements prometheus.Collector.
func (o *collector) Collect(metrics chan<- prometheus.Metric) {
	var counters member.Counters
	var revision uint64
	o.controller.do(func(time.Time) {
		counters = o.controller.member.Counters
		revision = o.controller.member.Revision().Number
	})
	events := []struct {
		name  string
		count uint64
	}{
		{"silent-session", counters.SilentSessions},
		{"lost-writer", counters.LostWriters},
		{"unreachable-peer", counters.UnreachablePeers},
		{"repair", counters.Repairs},
		{"probe", counters.Probes},
		{"adoption", counters.Adoptions},
		{"refusal", counters.Refusals},
		{"renewal", counters.Renewals},
	}
	for _, event := range events {
		metrics <- prometheus.MustNewConstMetric(eventsDesc, prometheus.CounterValue, float64(event.count), event.name)
	}
	metrics <- prometheus.MustNewConstMetric(revisionDesc, prometheus.GaugeValue, float64(revision))
	metrics <- prometheus.MustNewConstMetric(recordsDesc, prometheus.GaugeValue, float64(o.controller.member.Directory.Len()))
}
