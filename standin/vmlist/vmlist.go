// Package vmlist is a stand-in for the platform's list of VMs, which shows changes
// of the VMs after a lag.
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

// Config configures a VM list.
type Config struct {
	VMs []platform.VM // listed at the start
}

// Fault sets how the list fails. POST /fault and VMList.SetFault replace all fields.
type Fault struct {
	LagMillis  int  // age of the list shown
	Outage     bool // every request is refused
	SlowMillis int  // delay of every answer
}

// Counters counts the requests for the list.
type Counters struct {
	Lists int
}

// maxLists bounds the lists that are kept for a lag.
const maxLists = 1024

type timedList struct {
	at  time.Time
	vms []platform.VM
}

// VMList is a stand-in for the list of VMs.
type VMList struct {
	listener *listener.Listener

	mu       sync.Mutex
	lists    []timedList // oldest first; never empty
	fault    Fault
	counters Counters
}

// New returns a list that has not been started.
func New(cfg Config) *VMList {
	v := &VMList{lists: []timedList{{vms: slices.Clone(cfg.VMs)}}}
	v.listener = listener.New(v.handle)
	return v
}

// Start listens on address and returns the bound address.
func (v *VMList) Start(address string) (string, error) { return v.listener.Start(address) }

// Close stops the list at once.
func (v *VMList) Close() { v.listener.Close() }

// Set replaces the VMs of the list as of now. With a lag, the list shows the change
// later.
func (v *VMList) Set(now time.Time, vms ...platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.lists) >= maxLists {
		v.lists = slices.Clone(v.lists[1:])
	}
	v.lists = append(v.lists, timedList{at: now, vms: slices.Clone(vms)})
}

// SetFault replaces the current faults with f.
func (v *VMList) SetFault(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
}

// Counters returns a copy of the counters.
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
		if listener.DecodeStrict(ctx, &f) {
			v.SetFault(f)
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
		if listener.DecodeStrict(ctx, &vms) {
			v.Set(time.Now(), vms...)
		}
		return
	}
	vms, f := v.laggedList(time.Now())
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.Outage {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, vms)
}

// laggedList counts a request and returns the list as of the lag ago, with the
// current faults.
func (v *VMList) laggedList(now time.Time) ([]platform.VM, Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counters.Lists++
	asOf := now.Add(-time.Duration(v.fault.LagMillis) * time.Millisecond)
	for i := len(v.lists) - 1; i > 0; i-- {
		if !v.lists[i].at.After(asOf) {
			return v.lists[i].vms, v.fault
		}
	}
	return v.lists[0].vms, v.fault
}
