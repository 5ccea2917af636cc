package capacity

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	platformhttp "github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/standin/logservice"
	"github.com/dunlinmill/dunlinmill/standin/vmlist"
)

// Names of the slopes of the calls to the platform.
const (
	readTraffic   = "log, bytes of reading a record"
	readMicros    = "log, processor time of reading a record, both ends"
	appendTraffic = "log, bytes of an append"
	vmTraffic     = "VM list, bytes of reading it"
	vmMicros      = "VM list, processor time of reading it, both ends"
	vmTableMicros = "VM list, processor time of taking it in"
)

// recordSizes are the bytes of the records that are read and appended.
var recordSizes = []int{1, 1000, 4000, 16000}

func platformSlopes(cfg Config) ([]Slope, error) {
	log, err := logCalls(cfg)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	vms, err := vmCalls(cfg)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return append(log, vms...), nil
}

// logCalls measures one append and one read of a record of each size. A
// record of one byte stands for an empty answer.
func logCalls(cfg Config) ([]Slope, error) {
	service := logservice.New(logservice.Config{Rate: 1e6, Burst: 1e6})
	defer service.Close()
	address, err := service.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := newRelay(address)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	log := platformhttp.NewLog(r.Address(), platformhttp.Config{})
	defer log.Close()
	ctx := context.Background()
	offset := platform.Offset(0)
	appendOne := func(n int) {
		o, e := log.Append(ctx, "s", bytes.Repeat([]byte("a"), n))
		if e != nil {
			err = e
		}
		offset = o
	}
	readOne := func(l platform.Log) func() {
		return func() {
			if _, e := l.Read(ctx, "s", offset, 1, 0); e != nil {
				err = e
			}
		}
	}
	appendOne(1)
	const code = "connection/platform/overhttp Log"
	direct := platformhttp.NewLog(address, platformhttp.Config{})
	defer direct.Close()
	slopes := []Slope{
		measured(appendTraffic, code+".Append", "bytes", PerByte, recordSizes, func(n int) float64 {
			return r.count(func() { appendOne(n) })
		}),
		measured(readTraffic, code+".Read", "bytes", PerByte, recordSizes, func(n int) float64 {
			appendOne(n)
			return r.count(readOne(log))
		}),
		measured(readMicros, code+".Read", "µs", PerByte, recordSizes, func(n int) float64 {
			appendOne(n)
			return processorMicros(cfg, readOne(direct))
		}),
	}
	return slopes, err
}

// vmCalls measures one reading of the list of n VMs.
func vmCalls(cfg Config) ([]Slope, error) {
	service := vmlist.New(vmlist.Config{})
	defer service.Close()
	address, err := service.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := newRelay(address)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	ask := func(address string) func() {
		client := platformhttp.NewVMList(address, platformhttp.Config{})
		return func() {
			if _, e := client.VMs(context.Background()); e != nil {
				err = e
			}
		}
	}
	direct, relayed := ask(address), ask(r.Address())
	relayed()
	const code = "connection/platform/overhttp VMList"
	return []Slope{
		measured(vmTraffic, code, "bytes", PerNode, fleetSizes, func(n int) float64 {
			service.Set(time.Now(), virtualMachines(n)...)
			return r.count(relayed)
		}),
		measured(vmMicros, code, "µs", PerNode, fleetSizes, func(n int) float64 {
			service.Set(time.Now(), virtualMachines(n)...)
			return processorMicros(cfg, direct)
		}),
		measured(vmTableMicros, "process/member Table.SetVMs", "µs", PerNode, fleetSizes, func(n int) float64 {
			t := lo.Must(member.NewTable(member.Config{Name: "self", Address: "10.1.0.1:7000", DataCentre: "dc-0", Incarnation: 1}, siteStart))
			vms := virtualMachines(n)
			return processorMicros(cfg, func() { t.SetVMs(siteStart, vms) })
		}),
	}, err
}

func virtualMachines(n int) []platform.VM {
	return lo.Times(n, func(i int) platform.VM {
		return platform.VM{
			Name: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprint("dc-", i%DataCentres),
		}
	})
}
