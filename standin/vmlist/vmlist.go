// Package vmlist is a stand-in for the platform's list of VMs, which follows
// the truth with a lag.
package vmlist

import (
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Config describes a VM list.
type Config struct {
	VMs []platform.VM // at the start
}

// Fault is what is wrong with the list. POST /fault replaces the whole.
type Fault struct {
	LagMillis  int  // the list shown is so old
	Outage     bool // every request is refused
	SlowMillis int  // every answer takes so much longer
}

// Counters is what the list has seen.
type Counters struct {
	Lists int
}

// listsKept bounds the past lists.
const listsKept = 1024

type timedList struct {
	at  time.Time
	vms []platform.VM
}

// VMList is a running stand-in.
type VMList struct {
	listener *listener.Listener

	mu       sync.Mutex
	lists    []timedList // the oldest first, never empty
	fault    Fault
	counters Counters
}

// New makes a list that has not been started.
func New(cfg Config) *VMList {
	v := &VMList{lists: []timedList{{vms: slices.Clone(cfg.VMs)}}}
	v.listener = listener.New(v.handle)
	return v
}

// Start listens on address and gives the address that was bound.
func (v *VMList) Start(address string) (string, error) { return v.listener.Start(address) }

// Close ends everything at once.
func (v *VMList) Close() { v.listener.Close() }

// Set replaces the entries from now on.
func (v *VMList) Set(now time.Time, vms ...platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.lists) >= listsKept {
		v.lists = slices.Clone(v.lists[1:])
	}
	v.lists = append(v.lists, timedList{at: now, vms: slices.Clone(vms)})
}

// Fault puts f in place of the present faults.
func (v *VMList) Fault(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
}

// Counters gives a copy.
func (v *VMList) Counters() Counters {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counters
}

func (v *VMList) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case overhttp.PathVMs:
		v.handleVMs(ctx)
	case listener.PathFault:
		var f Fault
		if listener.DecodeKnown(ctx, &f) {
			v.Fault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, v.Counters())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (v *VMList) handleVMs(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var vms []platform.VM
		if listener.DecodeKnown(ctx, &vms) {
			v.Set(time.Now(), vms...)
		}
		return
	}
	vms, f := v.shown(time.Now())
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.Outage {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, vms)
}

// shown gives the list as it was before the lag.
func (v *VMList) shown(now time.Time) ([]platform.VM, Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counters.Lists++
	until := now.Add(-time.Duration(v.fault.LagMillis) * time.Millisecond)
	for i := len(v.lists) - 1; i > 0; i-- {
		if !v.lists[i].at.After(until) {
			return v.lists[i].vms, v.fault
		}
	}
	return v.lists[0].vms, v.fault
}
