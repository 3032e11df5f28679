package runner

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// metrics holds the Prometheus metrics of one process. The counters on the packet
// path are resolved in advance; gauges are read at each scrape.
type metrics struct {
	registry    *prometheus.Registry
	packets     [packetActions][packetModes]prometheus.Counter
	refusals    *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	summaries   *prometheus.CounterVec
	flowUpdates *prometheus.CounterVec
	serviceTime prometheus.Histogram
	answers     [answerClasses]prometheus.Counter
}

const (
	packetActions = 5
	packetModes   = int(gooseberrymast.HopAbsent) + 1
	// answerClasses is the number of first digits of an HTTP status.
	answerClasses = 10
)

// serviceBuckets are the histogram buckets of service times in seconds: from a
// short download to the longest deadline.
var serviceBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

func newMetrics(m *member) *metrics {
	created := &metrics{
		registry: prometheus.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_flow_refusals_total", Help: "Packets that did not reach a backend server, by reason.",
		}, []string{"reason"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_store_calls_total", Help: "Calls to the platform's store, by call and outcome.",
		}, []string{"call", "outcome"}),
		summaries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_zone_summaries_total", Help: "Summaries of availability zones, by whether they were sent, received or forwarded, and agents asked in their place.",
		}, []string{"step"}),
		flowUpdates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_flow_record_updates_total", Help: "Updates of flow records, by whether they were sent, received or requested again.",
		}, []string{"step"}),
		serviceTime: prometheus.NewHistogram(prometheus.HistogramOpts{
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
		created.answers[class] = answers.WithLabelValues(strconv.Itoa(class) + "xx")
	}
	names := balancerActionNames[:]
	if m.Settings.Role == gooseberrymast.RoleAgent {
		names = agentActionNames[:]
	}
	for action, name := range names {
		for mode := range packetModes {
			created.packets[action][mode] = packets.WithLabelValues(name, gooseberrymast.HopMode(mode).String())
		}
	}
	created.registry.MustRegister(packets, answers, created.refusals, created.storeCalls, created.summaries, created.flowUpdates, created.serviceTime, &gauges{member: m})
	return created
}

func (m *metrics) countPacket(action int, mode gooseberrymast.HopMode) {
	m.packets[action][min(int(mode), packetModes-1)].Inc()
}

func (m *metrics) countRefusal(reason string) {
	m.refusals.WithLabelValues(reason).Inc()
}

func (m *metrics) observeServiceTime(elapsed time.Duration) {
	m.serviceTime.Observe(elapsed.Seconds())
}

// countStatus counts an answer of the backend server by its HTTP status.
func (m *metrics) countStatus(status int) {
	const statusesPerClass = 100
	m.answers[min(status/statusesPerClass, answerClasses-1)].Inc()
}

// countStoreCall counts a call to the store by its outcome.
func (m *metrics) countStoreCall(call string, err error) {
	m.storeCalls.WithLabelValues(call, gooseberrymast.StoreOutcome(err)).Inc()
}

// countSummaries counts summaries of availability zones by their recipients.
func (m *metrics) countSummaries(step string, count int) {
	m.summaries.WithLabelValues(step).Add(float64(count))
}

// countFlowUpdate counts an update of flow records.
func (m *metrics) countFlowUpdate(step string) {
	m.flowUpdates.WithLabelValues(step).Inc()
}

// handler returns the HTTP handler that serves the metrics as text.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// gauges is a collector that reads the state of a process at each scrape.
type gauges struct {
	member *member
}

var (
	documentVersionDesc = prometheus.NewDesc("gooseberrymast_document_version", "Version of the document in force.", nil, nil)
	documentAgeDesc     = prometheus.NewDesc("gooseberrymast_document_age_seconds",
		"Time since the version in force was known to be the latest.", nil, nil)
	peersDesc = prometheus.NewDesc("gooseberrymast_peers", "Peers by role and by whether they were heard lately.",
		[]string{"role", "heard"}, nil)
	openFlowsDesc    = prometheus.NewDesc("gooseberrymast_open_flows", "Open flows of the agent's server.", nil, nil)
	inProgressDesc   = prometheus.NewDesc("gooseberrymast_requests_in_progress", "Requests that the server has not answered.", nil, nil)
	failingDesc      = prometheus.NewDesc("gooseberrymast_failing_share", "Share of the server's latest answers that were failures.", nil, nil)
	linesDroppedDesc = prometheus.NewDesc("gooseberrymast_log_lines_dropped_total", "Log lines lost since the output was slow.", nil, nil)
	storeEraDesc     = prometheus.NewDesc("gooseberrymast_store_era", "Highest era of the store observed; zero if it is unknown.", nil, nil)
	settledEraDesc   = prometheus.NewDesc("gooseberrymast_store_settled_era", "Highest era of the store known to have settled.", nil, nil)
	flowRecordsDesc  = prometheus.NewDesc("gooseberrymast_flow_records",
		"Flows recorded: at an agent those that its relay holds, at a relay those that it wrote last.", nil, nil)
	flowRecordsLeftOutDesc = prometheus.NewDesc("gooseberrymast_flow_records_left_out", "Flows that are not recorded since there are too many.", nil, nil)
	flowRecordsBytesDesc   = prometheus.NewDesc("gooseberrymast_flow_records_bytes", "Size of the flow records that the relay wrote last.", nil, nil)
	requestCostDesc        = prometheus.NewDesc("gooseberrymast_request_cost_seconds",
		"Expected time in a slot of a request to the agent's server; missing where flows are placed by count.", nil, nil)
	outstandingDesc = prometheus.NewDesc("gooseberrymast_outstanding_work_seconds",
		"Expected time in a slot of the requests in progress and queued, divided by the slots.", nil, nil)
	flowShareDesc = prometheus.NewDesc("gooseberrymast_open_flow_share",
		"Share of the slots that requests on open flows are expected to take.", nil, nil)
	flowsPlacedDesc  = prometheus.NewDesc("gooseberrymast_flows_placed_total", "New flows placed, by the rule used.", []string{"by"}, nil)
	flowOwnersDesc   = prometheus.NewDesc("gooseberrymast_flow_owners", "Flows whose owner the balancer remembers.", nil, nil)
	evacuatedDesc    = prometheus.NewDesc("gooseberrymast_evacuated_zones", "Zones that take no new flows.", nil, nil)
	ownEvacuatedDesc = prometheus.NewDesc("gooseberrymast_own_zone_evacuated", "1 while the process's zone takes no new flows, else 0.", nil, nil)
	evacuationAge    = prometheus.NewDesc("gooseberrymast_evacuations_age_seconds",
		"Time since the list of evacuated zones was last known to be read.", nil, nil)
	warmUpLeftDesc = prometheus.NewDesc("gooseberrymast_warm_up_left_seconds", "Time for which the server stays limited after its start.", nil, nil)
	warmUpRoomDesc = prometheus.NewDesc("gooseberrymast_warm_up_room", "New flows that a limited server may get until the next report.", nil, nil)
)

// Describe implements prometheus.Collector.
func (*gauges) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{documentVersionDesc, documentAgeDesc, peersDesc, openFlowsDesc, inProgressDesc, failingDesc, linesDroppedDesc, storeEraDesc, settledEraDesc,
		requestCostDesc, outstandingDesc, flowShareDesc, flowsPlacedDesc, flowOwnersDesc,
		evacuatedDesc, ownEvacuatedDesc, evacuationAge, warmUpLeftDesc, warmUpRoomDesc,
		flowRecordsDesc, flowRecordsLeftOutDesc, flowRecordsBytesDesc} {
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
	version := m.confirmer.Status(now).Version
	age, known := m.confirmer.Age(now)
	era, settledEra := m.verifier.Era(), m.verifier.SettledEra()
	m.mu.Unlock()
	gauge(storeEraDesc, float64(era))
	gauge(settledEraDesc, float64(settledEra))
	gauge(documentVersionDesc, float64(version.Number))
	if known {
		gauge(documentAgeDesc, age.Seconds())
	}
	if m.Settings.Places.Active() {
		g.collectPlaces(gauge, now)
	}
	type group struct {
		role   gooseberrymast.Role
		recent bool
	}
	counts := map[group]int{}
	m.roster.Each(func(entry roster.Entry) { counts[group{entry.Role, entry.Reporting(now)}]++ })
	for key, count := range counts {
		recent := "no"
		if key.recent {
			recent = "yes"
		}
		gauge(peersDesc, float64(count), key.role.String(), recent)
	}
	out <- prometheus.MustNewConstMetric(linesDroppedDesc, prometheus.CounterValue, float64(m.Log.Dropped()))
	if m.load != nil {
		load := m.load(now)
		gauge(openFlowsDesc, float64(load.Flows))
		gauge(inProgressDesc, float64(load.InProgress))
		gauge(failingDesc, load.Failing)
		if work := load.Work; work.Cost > 0 {
			gauge(requestCostDesc, work.Cost.Seconds())
			gauge(outstandingDesc, work.Outstanding.Seconds())
			gauge(flowShareDesc, work.FlowShare)
		}
		if load.Limited {
			gauge(warmUpLeftDesc, load.WarmUpLeft.Seconds())
			gauge(warmUpRoomDesc, float64(load.Room))
		}
	}
	if m.countPlaced != nil {
		byWork, byCount := m.countPlaced()
		out <- prometheus.MustNewConstMetric(flowsPlacedDesc, prometheus.CounterValue, float64(byWork), "work")
		out <- prometheus.MustNewConstMetric(flowsPlacedDesc, prometheus.CounterValue, float64(byCount), "count")
	}
	if m.countFlowRecords != nil {
		recorded := m.countFlowRecords()
		gauge(flowRecordsDesc, float64(recorded.flows))
		gauge(flowRecordsLeftOutDesc, float64(recorded.leftOut))
		gauge(flowRecordsBytesDesc, float64(recorded.bytes))
	}
	if m.countOwners != nil {
		gauge(flowOwnersDesc, float64(m.countOwners()))
	}
}

// collectPlaces reads what the process knows of evacuated zones.
func (g *gauges) collectPlaces(gauge func(*prometheus.Desc, float64, ...string), now time.Time) {
	m := g.member
	m.mu.Lock()
	zones := m.evacuator.Zones(now)
	age, known := m.evacuator.Age(now)
	m.mu.Unlock()
	own := 0.0
	if slices.Contains(zones, m.Settings.Zone) {
		own = 1
	}
	gauge(evacuatedDesc, float64(len(zones)))
	gauge(ownEvacuatedDesc, own)
	if known {
		gauge(evacuationAge, age.Seconds())
	}
}
