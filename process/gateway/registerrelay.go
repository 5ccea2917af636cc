package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// registerQueryPause is the time between two queries for the register to a reader, which reads it
	// about once a second. A change is then known everywhere within two and a half seconds. Each query
	// that brings a change makes a node rebuild its lists of all upstreams.
	registerQueryPause = 900 * time.Millisecond
	// registerQueryTimeout bounds a query for changes, and registerPageTimeout one for a page of all
	// entries, some 300 KB, which a link of 10 Mbit/s carries in a quarter of a second.
	registerQueryTimeout = 300 * time.Millisecond
	registerPageTimeout  = 3 * time.Second
	// maxRegisterProofAge is the age of a reader's knowledge from which a node reads the register
	// itself.
	maxRegisterProofAge = 4 * time.Second
	// maxRegisterPeers is how many readers a node asks before that. The platform may turn away a third
	// of the nodes.
	maxRegisterPeers = 5
	// registerPatience is how long a node that starts leaves the whole register to the readers, if these
	// answer. When a fleet starts at once, they have it after a few seconds.
	registerPatience = 9 * time.Second
)

// errRegisterUnknown means that a node does not know the register.
var errRegisterUnknown = fmt.Errorf("gateway: the register is not known: %w", keyed.ErrTopicUnknown)

// RegisterQuery asks a node for the register.
type RegisterQuery struct {
	// Known means that the asking node knows all before the position From; else it asks for all entries,
	// the given Page of them.
	Known bool
	From  keyed.Position
	Page  int
	// Snapshot is the position of the pages that have been read so far; 0 with the first one.
	Snapshot keyed.Position
}

// RegisterReply is the answer to a RegisterQuery.
type RegisterReply struct {
	// Known means that the answering node knows the register.
	Known bool
	// Read has the changes since RegisterQuery.From. If Whole is set it has none, as the answering node
	// can't tell them: all entries have to be asked for.
	Read  RegisterRead
	Whole bool
	// Entries is the page of all entries, encoded, of the snapshot at Read.Next; Pages is their number.
	Entries []byte
	Pages   int
	// Sound is the time, relative to the arrival of the question, up to which everything is known.
	Sound time.Duration
}

// answerRegister answers a query from what this node knows up to a position, with a proof of its own.
func (l *learner) answerRegister(now time.Time, q RegisterQuery, next keyed.Position, proof time.Time) (RegisterReply, error) {
	l.keyStatesMu.Lock()
	defer l.keyStatesMu.Unlock()
	a := RegisterReply{Known: true, Sound: proof.Sub(now)}
	if q.Known {
		read, ok := l.registerLog.since(q.From, next, l.keyStates)
		a.Read, a.Whole = read, !ok
		return a, nil
	}
	s, err := l.registerLog.allEntries(now, q.Snapshot, next, proof, l.keyStates)
	if err != nil {
		return RegisterReply{}, err
	}
	a.Read, a.Pages, a.Sound = RegisterRead{Next: s.next}, len(s.pages), s.proof.Sub(now)
	if q.Page < len(s.pages) {
		a.Entries = s.pages[q.Page]
	}
	return a, nil
}

// RegisterSince answers a node that gets the register from this one.
func (h *enginesHandler) RegisterSince(q RegisterQuery, r *RegisterReply) error {
	f := h.peers.register.Load()
	if f == nil {
		return errRegisterUnknown
	}
	next, proof, known := f.Position()
	if !known {
		return nil
	}
	var err error
	*r, err = h.peers.learner.answerRegister(clock.BoottimeNow(), q, next, proof)
	return err
}

// registerRelay gets the register from other nodes.
type registerRelay struct {
	peers *peers
}

var _ keyed.Peers = registerRelay{}

// Preferred reports whether this node leaves the reads of the register to others.
func (r registerRelay) Preferred() bool {
	return r.peers.readers.leavesToOthers(clock.BoottimeNow(), r.peers.roles.largeFrom)
}

// Ask returns what the first reader knows whose knowledge is young enough, otherwise the youngest. It
// asks for all entries if this node knows none, or if no reader can tell what has changed.
func (r registerRelay) Ask(ctx context.Context, from keyed.Position) (keyed.PeerAnswer, error) {
	if !r.Preferred() {
		return keyed.PeerAnswer{}, errNotJoined
	}
	order := r.peers.readers.order(clock.BoottimeNow(), maxRegisterPeers)
	if _, _, known := r.position(); known {
		a, err := r.askFirst(order, func(n roleNode) (keyed.PeerAnswer, error) { return r.askChanges(ctx, n, from) })
		if !errors.Is(err, errRegisterUnknown) {
			return a, err
		}
	}
	return r.askFirst(order, func(n roleNode) (keyed.PeerAnswer, error) { return r.askAll(ctx, n) })
}

// askFirst returns the first answer that is young enough, otherwise the youngest.
func (r registerRelay) askFirst(order []roleNode, ask func(n roleNode) (keyed.PeerAnswer, error)) (keyed.PeerAnswer, error) {
	best, err := keyed.PeerAnswer{}, error(errNotJoined)
	for _, n := range order {
		a, askErr := ask(n)
		switch {
		case errors.Is(askErr, errRegisterUnknown):
			err = askErr
			continue
		case askErr != nil:
			r.peers.readers.avoid(clock.BoottimeNow(), n.Name)
			if !errors.Is(err, errRegisterUnknown) {
				err = askErr
			}
			continue
		}
		if !best.Known || a.Sound > best.Sound {
			best = a
		}
		if -a.Sound < maxRegisterProofAge/2 {
			break
		}
	}
	if best.Known {
		return best, nil
	}
	return best, err
}

func (r registerRelay) position() (keyed.Position, time.Time, bool) {
	f := r.peers.register.Load()
	if f == nil {
		return 0, time.Time{}, false
	}
	return f.Position()
}

// askChanges asks one node for the changes since a position. The error is errRegisterUnknown if it can't
// tell them.
func (r registerRelay) askChanges(ctx context.Context, n roleNode, from keyed.Position) (keyed.PeerAnswer, error) {
	var a RegisterReply
	if err := r.peers.callWithin(ctx, registerQueryTimeout, n.Address, "RegisterSince", RegisterQuery{Known: true, From: from}, &a); err != nil {
		return keyed.PeerAnswer{}, err
	}
	if !a.Known || a.Whole {
		return keyed.PeerAnswer{}, errRegisterUnknown
	}
	return keyed.PeerAnswer{Known: true, Records: recordsOf(a.Read.News), Next: a.Read.Next, Sound: a.Sound}, nil
}

// askAll asks one node for all entries, page by page, as they were at one position.
func (r registerRelay) askAll(ctx context.Context, n roleNode) (keyed.PeerAnswer, error) {
	answer := keyed.PeerAnswer{Complete: true}
	for page, pages := 0, 1; page < pages; page++ {
		var a RegisterReply
		if err := r.peers.callWithin(ctx, registerPageTimeout, n.Address, "RegisterSince", RegisterQuery{Page: page, Snapshot: answer.Next}, &a); err != nil {
			return keyed.PeerAnswer{}, err
		}
		if !a.Known || page > 0 && a.Read.Next != answer.Next {
			return keyed.PeerAnswer{}, errRegisterUnknown
		}
		news, err := decodeRegisterPage(a.Entries)
		if err != nil {
			return keyed.PeerAnswer{}, err
		}
		answer.Known, answer.Next, answer.Sound, pages = true, a.Read.Next, a.Sound, a.Pages
		answer.Records = append(answer.Records, recordsOf(news)...)
	}
	return answer, nil
}

func recordsOf(news []RegisterNews) []keyed.Record {
	return lo.Map(news, func(n RegisterNews, _ int) keyed.Record {
		return keyed.Record{Key: n.Entry.RegisterKey(), Position: n.Position, Dropped: n.Gone && !n.Unusable, Decoded: n}
	})
}
