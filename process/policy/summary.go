package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

// errSummary means that a peer's value is not a summary in this form.
var errSummary = errors.New("policy: malformed placement summary")

// Sizes of a summary on the way to a peer. On the heartbeats one value has
// room for member.MaxBlobBytes; the same as JSON would take four times as much.
const (
	headBytes     = 8 + 1 + 1
	inFlightBytes = 4 + 2 + 4
	hotBytes      = 8 + 4
	// paceBytes stand last, if the engines of the group don't state their rate.
	paceBytes = 4 + 1
	// mostInFlight is how many upstreams a value tells of, those with the
	// most prompt tokens first; the rest of the room is for hot levels.
	mostInFlight = 60
	// mostHot bounds the hot levels told; those after it are cool.
	mostHot = 16
)

// GroupID stands for a group of engines.
func GroupID(g catalogue.Group) uint64 {
	return xxhash.Sum64String(g.Pool + "\x00" + g.Model)
}

// EncodeSummary gives as much of a summary as fits into one published value.
func EncodeSummary(g catalogue.Group, s placement.Summary) []byte {
	inFlight := s.InFlight[:min(len(s.InFlight), mostInFlight)]
	room := (member.MaxBlobBytes - headBytes - paceBytes - len(inFlight)*inFlightBytes) / hotBytes
	hot := s.HotLevels[:min(len(s.HotLevels), room, mostHot)]
	b := binary.LittleEndian.AppendUint64(nil, GroupID(g))
	b = append(b, byte(len(inFlight)), byte(len(hot)))
	for _, f := range inFlight {
		b = binary.LittleEndian.AppendUint32(b, uint32(cachenews.IDOf(f.Upstream)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(f.Requests, math.MaxUint16)))
		b = binary.LittleEndian.AppendUint32(b, uint32(min(f.Tokens, math.MaxUint32)))
	}
	for _, h := range hot {
		b = binary.LittleEndian.AppendUint64(b, h.Level)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(h.Rate)))
	}
	return appendPace(b, s.Pace())
}

func appendPace(b []byte, p placement.Pace) []byte {
	if p.Answers == 0 {
		return b
	}
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(p.Rate)))
	return append(b, byte(min(p.Answers, math.MaxUint8)))
}

// decodePace reads what follows the entries; a rate that is none counts as not told.
func decodePace(b []byte) placement.Pace {
	if len(b) < paceBytes {
		return placement.Pace{}
	}
	rate := float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
	if !(rate > 0 && rate < math.MaxFloat32) {
		return placement.Pace{}
	}
	return placement.Pace{Rate: rate, Answers: int(b[4])}
}

// DecodeSummary reads a peer's value. Upstreams that this node does not know
// yet are left out.
func DecodeSummary(b []byte, names Names) (group uint64, s placement.Summary, err error) {
	if len(b) < headBytes {
		return 0, s, fmt.Errorf("%d bytes: %w", len(b), errSummary)
	}
	group = binary.LittleEndian.Uint64(b)
	inFlight, hot := int(b[8]), int(b[9])
	b = b[headBytes:]
	if rest := len(b) - inFlight*inFlightBytes - hot*hotBytes; rest != 0 && rest != paceBytes {
		return 0, s, fmt.Errorf("%d bytes for %d and %d entries: %w", len(b), inFlight, hot, errSummary)
	}
	for range inFlight {
		if name, ok := names[cachenews.UpstreamID(binary.LittleEndian.Uint32(b))]; ok {
			s.InFlight = append(s.InFlight, placement.InFlight{
				Upstream: name,
				Requests: int(binary.LittleEndian.Uint16(b[4:])),
				Tokens:   int(binary.LittleEndian.Uint32(b[6:])),
			})
		}
		b = b[inFlightBytes:]
	}
	for range hot {
		s.HotLevels = append(s.HotLevels, placement.HotLevel{
			Level: binary.LittleEndian.Uint64(b),
			Rate:  float64(math.Float32frombits(binary.LittleEndian.Uint32(b[8:]))),
		})
		b = b[hotBytes:]
	}
	return group, s.WithPace(decodePace(b)), nil
}
