package node

import (
	"math"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/dunlinmill/dunlinmill/connection/intake"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/settings"
)

// newIntake returns the account of the process for its clients, by what the process may use.
func newIntake(l settings.Limits, log *zap.Logger) *intake.Intake {
	limits := intake.Unlimited()
	if m, err := machine(l); err != nil {
		event.Warn(log, event.MachineUnknown, zap.Error(err))
	} else {
		limits = m.Limits()
		debug.SetMemoryLimit(m.CollectorLimit())
	}
	limits.Callers = min(limits.Callers, l.MaxConnections)
	return intake.New(limits, log)
}

// machine returns what the process may use.
func machine(l settings.Limits) (intake.Machine, error) {
	descriptors, err := intake.OpenDescriptors()
	if err != nil {
		return intake.Machine{}, err
	}
	m := intake.Machine{Memory: int64(l.MemoryBytes), Descriptors: descriptors}
	if m.Memory == 0 {
		m.Memory, err = defaultMemory()
	}
	return m, err
}

// defaultMemory returns GOMEMLIMIT, or else the memory of the VM. It is read before newIntake changes the limit.
var defaultMemory = sync.OnceValues(func() (int64, error) {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit, nil
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, err
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit)), nil
})
