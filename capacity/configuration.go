package capacity

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
	"github.com/dunlinmill/dunlinmill/version/snapshot"
)

// Names of the slopes of the configuration.
const (
	changeProcessor   = "configuration, processor time of a change by workspaces"
	changeProcessorUp = "configuration, processor time of a change by runners"
	renewalProcessor  = "configuration, processor time of a lease renewal"
	changeRecord      = "configuration, log bytes of a change"
	stateHeap         = "configuration, bytes of the state by workspaces"
	stateHeapUp       = "configuration, bytes of the state by runners"
	snapshotBytes     = "configuration, bytes of a snapshot by workspaces"
	snapshotBytesUp   = "configuration, bytes of a snapshot by runners"
	snapshotProcessor = "configuration, processor time of a snapshot"
	catalogueMicros   = "configuration, processor time of the lists of engines"
)

var workspaceSizes = []int{8, 100, 500, 1500}

const (
	smallSite = 8  // workspaces while runners grow
	smallPool = 12 // runners while workspaces grow
	foldCode  = "version/fold State.Apply"
)

func configurationSlopes(cfg Config) ([]Slope, error) {
	micros := func(f func()) float64 { return processorMicros(cfg, f) }
	byWorkspaces := func(name, code, unit string, f func(*site) float64) Slope {
		return measured(name, code, unit, PerWorkspace, workspaceSizes, func(n int) float64 { return f(newSite(n, smallPool)) })
	}
	byRunners := func(name, code, unit string, f func(*site) float64) Slope {
		return measured(name, code, unit, PerRunner, runnerSizes, func(n int) float64 { return f(newSite(smallSite, n)) })
	}
	applyChange := func(s *site) float64 { return micros(s.applier(s.change(1))) }
	packed := func(s *site) float64 { return float64(len(lo.Must(snapshot.Encode(&s.state)))) }
	return []Slope{
		byWorkspaces(changeProcessor, foldCode, "µs", applyChange),
		byRunners(changeProcessorUp, foldCode, "µs", applyChange),
		byWorkspaces(renewalProcessor, foldCode, "µs", func(s *site) float64 { return micros(s.applier(s.renewal())) }),
		measured(changeRecord, "version/record Encode", "bytes", PerChange, []int{1, 2, 4, 7}, func(n int) float64 {
			return float64(len(newSite(smallSite, smallPool).change(n)))
		}),
		byWorkspaces(stateHeap, "version/snapshot Decode", "bytes", decodedHeap),
		byRunners(stateHeapUp, "version/snapshot Decode", "bytes", decodedHeap),
		byWorkspaces(snapshotBytes, "version/snapshot Encode", "bytes", packed),
		byRunners(snapshotBytesUp, "version/snapshot Encode", "bytes", packed),
		byWorkspaces(snapshotProcessor, "version/snapshot Encode", "µs", func(s *site) float64 {
			return micros(func() { lo.Must(snapshot.Encode(&s.state)) })
		}),
		byRunners(catalogueMicros, "version/catalogue New", "µs", func(s *site) float64 {
			return micros(func() { catalogue.New(s.state.Config) })
		}),
	}, nil
}

// decodedHeap is what a state takes that came over the wire.
func decodedHeap(s *site) float64 {
	const copies = 4
	body := lo.Must(snapshot.Encode(&s.state))
	return heapOf(func() []*fold.State {
		return lo.Times(copies, func(int) *fold.State { return lo.Must(snapshot.Decode(body)) })
	}) / copies
}

// site is a state of some size, with as many remembered ids as the fold
// keeps.
type site struct {
	state fold.State
	ids   int
}

var siteStart = time.Unix(1_800_000_000, 0).UTC()

func newSite(workspaces, runners int) *site {
	s := &site{state: fold.New()}
	s.apply(s.encode(firstConfig(workspaces, runners)))
	for range record.Window {
		s.apply(s.encode(record.TakeLease{Holder: "node-001", Prev: s.state.Lease.Version}))
	}
	return s
}

// firstConfig sets everything.
func firstConfig(workspaces, runners int) record.Bootstrap {
	b := record.Bootstrap{}
	for i := range Models {
		b.Changes = append(b.Changes, config.Change{SetModel: &config.Model{Name: fmt.Sprint("model-", i), Version: "2026-11-01"}})
	}
	for i := range runners {
		b.Changes = append(b.Changes, config.Change{SetUpstream: lo.ToPtr(runner(i))})
	}
	for i := range workspaces {
		b.Changes = append(b.Changes, config.Change{SetWorkspace: lo.ToPtr(workspace(i))})
	}
	return b
}

func runner(i int) config.Upstream {
	return config.Upstream{
		Name: engineName(i), Address: fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
		DataCentre: fmt.Sprint("dc-", i%DataCentres), Pool: fmt.Sprint("provider-", i%2),
		Models: []string{fmt.Sprint("model-", i%Models)}, Slots: 32, PrefillRate: 8000, ChecksFencing: true,
	}
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func workspace(i int) config.Workspace {
	key := func(k int) config.Key {
		return config.Key{ID: fmt.Sprint("key-", k), Hash: fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i, k)))}
	}
	return config.Workspace{
		Name: workspaceName(i), Weight: 1, Keys: []config.Key{key(1), key(2)},
		Shares: []config.Share{{Pool: "provider-0", Percent: 60}, {Pool: "provider-1", Percent: 40}},
		Limit:  config.Limit{RequestsPerSecond: 20, InFlight: 200},
	}
}

// encode gives the body of an append.
func (s *site) encode(bodies ...record.Body) []byte {
	records := lo.Map(bodies, func(b record.Body, _ int) record.Record {
		s.ids++
		return lo.Must(record.New(fmt.Sprintf("node-001-19af21c4b07-%d", s.ids), s.state.Offset, siteStart, b))
	})
	return lo.Must(record.Encode(records))
}

func (s *site) apply(body []byte) {
	next, _, err := s.state.Apply(platform.Record{Offset: s.state.Offset + 1, Body: body})
	lo.Must0(err)
	s.state = next
}

// applier applies a record to the same state each time.
func (s *site) applier(body []byte) func() {
	r := platform.Record{Offset: s.state.Offset + 1, Body: body}
	return func() {
		_, outcomes, err := s.state.Apply(r)
		lo.Must0(err)
		for _, o := range outcomes {
			lo.Must0(o.Err())
		}
	}
}

// change is one append that proposes and confirms n changes of limits.
func (s *site) change(n int) []byte {
	var changes []config.Change
	var touches []string
	for i := range n {
		l := &config.WorkspaceLimit{Workspace: workspaceName(i), Limit: config.Limit{RequestsPerSecond: 25, InFlight: 250}}
		changes = append(changes, config.Change{SetLimit: l})
		touches = append(touches, record.Object(record.KindWorkspace, workspaceName(i)))
	}
	p := record.Plan{
		ID: "node-001-19af21c4b07-p", Operator: "ana", Base: s.state.Offset,
		Words: []string{"limit Workspace/workspace-0000"}, Capacity: []string{"as it is"},
		Touches: touches, Steps: []record.Step{{Changes: changes}},
	}
	return s.encode(record.Propose{Plan: p}, record.Confirm{Plan: p.ID, Base: p.Base, Operator: p.Operator})
}

func (s *site) renewal() []byte {
	return s.encode(record.RenewLease{Holder: s.state.Lease.Holder, Fencing: s.state.Lease.Fencing})
}
