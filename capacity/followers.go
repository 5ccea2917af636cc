package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Names of the slopes of a configuration that comes into force.
const (
	forceByLog   = "configuration, time until a change is in force, by the log"
	forceByPeers = "configuration, time until a change is in force, all but one node cut off from the log"
)

// forceLimit bounds the wait for a change.
const forceLimit = 12 * time.Second

// followerFleet is the followers of many nodes over one log, in real time.
type followerFleet struct {
	log       *fakelog.Log
	followers []*follower.Follower
}

// cutLog can't be reached.
type cutLog struct{}

// Append implements platform.Log.
func (cutLog) Append(context.Context, string, []byte) (platform.Offset, error) {
	return 0, platform.ErrUnavailable
}

// Read implements platform.Log.
func (cutLog) Read(context.Context, string, platform.Offset, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

// relaySource asks a follower in this process.
type relaySource struct{ relay *follower.Relay }

// Newer implements follower.Source.
func (s relaySource) Newer(_ context.Context, req follower.NewerRequest) (resp follower.NewerResponse, err error) {
	err = s.relay.Newer(req, &resp)
	return resp, err
}

// newFollowerFleet starts n followers; with cut, only the first reads the
// log, and the others ask it.
func newFollowerFleet(n int, cut bool) *followerFleet {
	f := &followerFleet{log: &fakelog.Log{}}
	first := follower.New(follower.Config{}, f.log, nil, zap.NewNop())
	f.followers = append(f.followers, first)
	relay := follower.NewRelay(first)
	for range n - 1 {
		var log platform.Log = f.log
		var peers func() []follower.Source
		if cut {
			log = cutLog{}
			peers = func() []follower.Source { return []follower.Source{relaySource{relay}} }
		}
		f.followers = append(f.followers, follower.New(follower.Config{}, log, peers, zap.NewNop()))
	}
	return f
}

func (f *followerFleet) close() {
	for _, w := range f.followers {
		_ = w.Close()
	}
}

// inForce appends a record and gives the seconds until all have applied it.
func (f *followerFleet) inForce(id string, body record.Body) (float64, error) {
	r, err := record.New(id, f.followers[0].State().Offset, time.Now(), body)
	if err != nil {
		return 0, err
	}
	encoded, err := record.Encode([]record.Record{r})
	if err != nil {
		return 0, err
	}
	offset, err := f.log.Append(context.Background(), record.Stream, encoded)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	applied := func(w *follower.Follower) bool { return w.State().Offset >= offset }
	for !lo.EveryBy(f.followers, applied) {
		if time.Since(began) > forceLimit {
			return 0, fmt.Errorf("record %s isn't in force after %s", id, forceLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began).Seconds(), nil
}

// forceSlopes plays the fleets of all sizes side by side.
func forceSlopes(Config) ([]Slope, error) {
	var slopes []Slope
	for _, cut := range []bool{false, true} {
		points := make([]Point, len(fleetSizes))
		var g errgroup.Group
		for i, n := range fleetSizes {
			g.Go(func() error {
				seconds, err := changeInForce(n, cut)
				points[i] = Point{Size: float64(n), Value: seconds}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return nil, err
		}
		name := lo.Ternary(cut, forceByPeers, forceByLog)
		slopes = append(slopes, newSlope(name, "version/follower Follower, Relay", "s", PerNode, points))
	}
	return slopes, nil
}

// changeInForce measures the second of two records: the first is read at the
// start.
func changeInForce(n int, cut bool) (float64, error) {
	f := newFollowerFleet(n, cut)
	defer f.close()
	if _, err := f.inForce("first", firstConfig(smallSite, smallPool)); err != nil {
		return 0, err
	}
	return f.inForce("second", record.TakeLease{Holder: "node-000"})
}
