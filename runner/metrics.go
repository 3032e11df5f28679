package runner

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// metrics are the counters of one process. They are made of plain numbers on
// the path of a packet and read when somebody asks.
type metrics struct {
	registry *prometheus.Registry
	packets  [packetActions][packetModes]prometheus.Counter
	refusals *prometheus.CounterVec
	store    *prometheus.CounterVec
	service  prometheus.Histogram
	answers  [answerClasses]prometheus.Counter
}

const (
	packetActions = 5
	packetModes   = int(gooseberrymast.HopAbsent) + 1
	// answerClasses are the first digits of an answer's status.
	answerClasses = 10
)

// serviceBuckets are those of the time that a server takes, in seconds: from a
// short download to the longest deadline.
var serviceBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

func newMetrics(m *member) *metrics {
	made := &metrics{
		registry: prometheus.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_flow_refusals_total", Help: "Packets that did not reach a backend server, by reason.",
		}, []string{"reason"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_store_calls_total", Help: "Calls to the platform's store, by call and outcome.",
		}, []string{"call", "outcome"}),
		service: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gooseberrymast_service_seconds", Help: "Time from a request's first packet to its answer's, at the agent.",
			Buckets: serviceBuckets,
		}),
	}
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_flow_packets_total", Help: "Packets decided on, by action and mode of the hop.",
	}, []string{"action", "mode"})
	answers := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrymast_answers_total", Help: "Answers of the backend server, by the first digit of their status.",
	}, []string{"class"})
	for class := range answerClasses {
		made.answers[class] = answers.WithLabelValues(strconv.Itoa(class) + "xx")
	}
	names := balancerActions[:]
	if m.Settings.Role == gooseberrymast.RoleAgent {
		names = agentActions[:]
	}
	for action, name := range names {
		for mode := range packetModes {
			made.packets[action][mode] = packets.WithLabelValues(name, gooseberrymast.HopMode(mode).String())
		}
	}
	made.registry.MustRegister(packets, answers, made.refusals, made.store, made.service, &gauges{member: m})
	return made
}

func (m *metrics) packet(action int, mode gooseberrymast.HopMode) {
	m.packets[action][min(int(mode), packetModes-1)].Inc()
}

func (m *metrics) refused(reason string) {
	m.refusals.WithLabelValues(reason).Inc()
}

func (m *metrics) answered(took time.Duration) {
	m.service.Observe(took.Seconds())
}

// status counts an answer of the backend server by its HTTP status.
func (m *metrics) status(status int) {
	const statusesOfAClass = 100
	m.answers[min(status/statusesOfAClass, answerClasses-1)].Inc()
}

// storeCall counts a call to the store.
func (m *metrics) storeCall(call string, err error) {
	m.store.WithLabelValues(call, gooseberrymast.StoreOutcome(err)).Inc()
}

// handler serves the metrics as text.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// gauges reads what a process holds at the moment of the question.
type gauges struct {
	member *member
}

var (
	documentVersion = prometheus.NewDesc("gooseberrymast_document_version", "Version of the document in force.", nil, nil)
	documentAge     = prometheus.NewDesc("gooseberrymast_document_age_seconds",
		"Time since the version in force was known to be the latest.", nil, nil)
	peersHeard = prometheus.NewDesc("gooseberrymast_peers", "Peers by role and by whether they were heard lately.",
		[]string{"role", "heard"}, nil)
	openFlows   = prometheus.NewDesc("gooseberrymast_open_flows", "Open flows of the agent's server.", nil, nil)
	inProgress  = prometheus.NewDesc("gooseberrymast_requests_in_progress", "Requests that the server has not answered.", nil, nil)
	failing     = prometheus.NewDesc("gooseberrymast_failing_share", "Share of the server's latest answers that were failures.", nil, nil)
	linesLost   = prometheus.NewDesc("gooseberrymast_log_lines_dropped_total", "Log lines lost since the output was slow.", nil, nil)
	knownOwners = prometheus.NewDesc("gooseberrymast_flow_owners", "Flows whose owner the balancer remembers.", nil, nil)
)

// Describe implements prometheus.Collector.
func (*gauges) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{documentVersion, documentAge, peersHeard, openFlows, inProgress, failing, linesLost, knownOwners} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (g *gauges) Collect(out chan<- prometheus.Metric) {
	m := g.member
	now := m.Timer.Now()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	m.mu.Lock()
	version := m.confirmer.News(now).Version
	age, known := m.confirmer.Age(now)
	m.mu.Unlock()
	gauge(documentVersion, float64(version))
	if known {
		gauge(documentAge, age.Seconds())
	}
	type group struct {
		role  gooseberrymast.Role
		heard bool
	}
	counts := map[group]int{}
	m.roster.Each(func(entry roster.Entry) { counts[group{entry.Role, entry.Alive(now)}]++ })
	for each, count := range counts {
		heard := "no"
		if each.heard {
			heard = "yes"
		}
		gauge(peersHeard, float64(count), each.role.String(), heard)
	}
	out <- prometheus.MustNewConstMetric(linesLost, prometheus.CounterValue, float64(m.Log.Dropped()))
	if m.load != nil {
		load := m.load(now)
		gauge(openFlows, float64(load.Flows))
		gauge(inProgress, float64(load.InProgress))
		gauge(failing, load.Failing)
	}
	if m.flowOwners != nil {
		gauge(knownOwners, float64(m.flowOwners()))
	}
}
