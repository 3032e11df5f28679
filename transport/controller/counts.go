package controller

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"gooseberrymast/coordination/member"
	"gooseberrymast/protocol/messages/control"
)

// metrics holds the Prometheus metrics of a controller.
type metrics struct {
	bytes     *prometheus.CounterVec
	messages  *prometheus.CounterVec
	dials     *prometheus.CounterVec
	overflows prometheus.Counter
}

func (m *metrics) init() {
	m.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_bytes_total",
		Help: "Bytes of messages on control sessions by direction and kind.",
	}, []string{"direction", "kind"})
	m.messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_messages_total",
		Help: "Messages on control sessions by direction and kind.",
	}, []string{"direction", "kind"})
	m.dials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_control_dials_total",
		Help: "Control sessions that this process opened, by outcome.",
	}, []string{"outcome"})
	m.overflows = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrymast_control_overflows_total",
		Help: "Control sessions closed because the peer read too slowly.",
	})
}

func (m *metrics) sent(frame *control.Message) {
	m.count("sent", frame)
}

func (m *metrics) received(frame *control.Message) {
	m.count("received", frame)
}

func (m *metrics) count(direction string, frame *control.Message) {
	kind := kindOf(frame)
	m.bytes.WithLabelValues(direction, kind).Add(float64(proto.Size(frame)))
	m.messages.WithLabelValues(direction, kind).Inc()
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
	collectors := []prometheus.Collector{c.metrics.bytes, c.metrics.messages, c.metrics.dials, c.metrics.overflows, &collector{c}}
	for _, each := range collectors {
		if err := registerer.Register(each); err != nil {
			return fmt.Errorf("Controller.Register: %w", err)
		}
	}
	return nil
}

// collector exports the member's counters.
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
	o.controller.runInLoop(func(time.Time) {
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
		{"renewal", counters.Refutations},
	}
	for _, event := range events {
		metrics <- prometheus.MustNewConstMetric(eventsDesc, prometheus.CounterValue, float64(event.count), event.name)
	}
	metrics <- prometheus.MustNewConstMetric(revisionDesc, prometheus.GaugeValue, float64(revision))
	metrics <- prometheus.MustNewConstMetric(recordsDesc, prometheus.GaugeValue, float64(o.controller.member.Directory.Len()))
}
