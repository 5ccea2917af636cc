package settings

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/process/document"
)

// LogLevels lists the accepted values of Log.Level.
var LogLevels = []string{"debug", "info", "warn", "error"}

// Bounds of the accepted values.
const (
	MinSecretBytes      = 16
	MaxBodyBytes        = 64 << 20
	MaxHeaderBytes      = 1 << 20
	MaxConnections      = 1 << 20
	MinMemoryBytes      = 64 << 20
	MaxQueueLength      = 1 << 20
	MaxDuration         = time.Hour
	MaxJournalHorizon   = 24 * time.Hour
	MaxAppendsPerSecond = 1000.0
	MaxImportRate       = 10_000_000.0
)

const (
	addressFormat = "IP:port such as 127.0.0.1:8080"
	nameFormat    = "1 to 63 of a-z, 0-9 and -, beginning with a letter"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func (s *Settings) check(d *document.Result) {
	checkName(d, "Node", s.Node)
	checkName(d, "DataCentre", s.DataCentre)
	s.checkListen(d)
	s.checkPlatform(d)
	s.checkPeers(d)
	s.checkLimits(d)
	s.checkTimes(d)
	if token := s.Operators.BootstrapToken; token != "" {
		checkSecret(d, "Operators.BootstrapToken", token)
	}
	if !slices.Contains(LogLevels, s.Log.Level) {
		d.AddFault("Log.Level", fmt.Sprintf("%q is not a level", s.Log.Level), strings.Join(LogLevels, ", "))
	}
	if s.LastKnown != "" {
		checkFile(d, "LastKnown", s.LastKnown)
	}
}

func (s *Settings) checkListen(d *document.Result) {
	checkListener(d, "Listen.Callers", s.Listen.Callers)
	checkListener(d, "Listen.Operators", s.Listen.Operators)
	checkListener(d, "Listen.Peers", s.Listen.Peers)
	s.checkDuplicateAddresses(d)
}

// checkDuplicateAddresses reports two listeners with one address. Without it the
// mistake would show only as a bind error halfway through startup.
func (s *Settings) checkDuplicateAddresses(d *document.Result) {
	owners := map[string]string{}
	listeners := []struct{ path, address string }{
		{"Listen.Callers.Address", s.Listen.Callers.Address},
		{"Listen.Operators.Address", s.Listen.Operators.Address},
		{"Listen.Peers.Address", s.Listen.Peers.Address},
	}
	for _, l := range listeners {
		if l.address == "" || strings.HasSuffix(l.address, ":0") {
			continue
		}
		if other, duplicate := owners[l.address]; duplicate {
			d.AddFault(l.path, fmt.Sprintf("%s is the address of %s", l.address, other), "an address that no other listener uses")
		}
		owners[l.address] = l.path
	}
}

func checkListener(d *document.Result, path string, l Listener) {
	checkAddress(d, path+".Address", l.Address, true)
	if (l.TLS.CertFile == "") != (l.TLS.KeyFile == "") {
		d.AddFault(path+".TLS", "only one of CertFile and KeyFile is set", "both, or none for plain text")
		return
	}
	if l.TLS.Enabled() {
		checkFile(d, path+".TLS.CertFile", l.TLS.CertFile)
		checkFile(d, path+".TLS.KeyFile", l.TLS.KeyFile)
	}
	if l.TLS.AuthorityFile != "" {
		checkFile(d, path+".TLS.AuthorityFile", l.TLS.AuthorityFile)
	}
}

func (s *Settings) checkPlatform(d *document.Result) {
	checkAddress(d, "Platform.Log", s.Platform.Log, false)
	checkAddress(d, "Platform.VMList", s.Platform.VMList, false)
	checkAddress(d, "Platform.WeightStore", s.Platform.WeightStore, false)
	checkRange(d, "Platform.Timeout", s.Platform.Timeout, time.Millisecond, time.Minute)
}

func (s *Settings) checkPeers(d *document.Result) {
	for i, seed := range s.Peers.Seeds {
		checkAddress(d, fmt.Sprintf("Peers.Seeds[%d]", i), seed, false)
	}
	checkRange(d, "Peers.CallTimeout", s.Peers.CallTimeout, time.Millisecond, time.Minute)
	if !d.HasFault("Peers.SecretFile") {
		checkSecrets(d, "Peers.Secret", s.Peers)
	}
}

func (s *Settings) checkLimits(d *document.Result) {
	checkRange(d, "Limits.MaxBodyBytes", s.Limits.MaxBodyBytes, 1<<10, MaxBodyBytes)
	checkRange(d, "Limits.MaxHeaderBytes", s.Limits.MaxHeaderBytes, 1<<10, MaxHeaderBytes)
	checkRange(d, "Limits.MaxConnections", s.Limits.MaxConnections, 1, MaxConnections)
	if s.Limits.MemoryBytes != 0 {
		checkRange(d, "Limits.MemoryBytes", s.Limits.MemoryBytes, MinMemoryBytes, math.MaxInt)
	}
	checkRange(d, "Queue.Length", s.Queue.Length, 1, MaxQueueLength)
	checkRange(d, "Placement.ImportRate", s.Placement.ImportRate, 0, MaxImportRate)
	checkRange(d, "Journal.AppendsPerSecond", s.Journal.AppendsPerSecond, 1, MaxAppendsPerSecond)
}

func (s *Settings) checkTimes(d *document.Result) {
	checkRange(d, "Limits.HeaderTimeout", s.Limits.HeaderTimeout, time.Millisecond, MaxDuration)
	checkRange(d, "Limits.IdleTimeout", s.Limits.IdleTimeout, time.Millisecond, MaxDuration)
	checkRange(d, "Limits.WriteTimeout", s.Limits.WriteTimeout, time.Millisecond, MaxDuration)
	checkRange(d, "Queue.MaxWait", s.Queue.MaxWait, time.Millisecond, MaxDuration)
	checkRange(d, "Journal.Horizon", s.Journal.Horizon, time.Minute, MaxJournalHorizon)
	checkRange(d, "Plans.Settle", s.Plans.Settle, 0, MaxDuration)
	checkRange(d, "Shutdown.Notice", s.Shutdown.Notice, 0, time.Minute)
	checkRange(d, "Shutdown.Grace", s.Shutdown.Grace, 0, MaxDuration)
}

func checkName(d *document.Result, path, value string) {
	switch {
	case d.HasFault(path):
	case value == "":
		d.AddFault(path, "missing", nameFormat)
	case !namePattern.MatchString(value):
		d.AddFault(path, fmt.Sprintf("%q is not a name", value), nameFormat)
	}
}

func checkAddress(d *document.Result, path, value string, allowPortZero bool) {
	if d.HasFault(path) {
		return
	}
	if value == "" {
		d.AddFault(path, "missing", addressFormat)
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 && !allowPortZero {
		d.AddFault(path, fmt.Sprintf("%q is not an address", value), addressFormat)
	}
}

func checkSecret(d *document.Result, path, value string) {
	if d.HasFault(path) {
		return
	}
	if len(value) < MinSecretBytes {
		d.AddFault(path, "missing or too short", fmt.Sprintf("at least %d bytes, here or in %sFile", MinSecretBytes, path))
	}
}

// MaxSecrets is the largest number of secrets that a fleet may accept at once: the
// old and the new one, and room for a rotation that begins before another has ended.
const MaxSecrets = 4

func checkSecrets(d *document.Result, path string, p Peers) {
	secrets := p.Secrets()
	if len(secrets) == 0 {
		checkSecret(d, path, "")
		return
	}
	if len(secrets) > MaxSecrets {
		d.AddFault(path, fmt.Sprintf("%d secrets", len(secrets)), fmt.Sprintf("at most %d", MaxSecrets))
	}
	for _, s := range secrets {
		checkSecret(d, path, string(s))
	}
}

func checkFile(d *document.Result, path, value string) {
	f, err := os.Open(value)
	if err != nil {
		d.AddFault(path, err.Error(), "a file that this process can read")
		return
	}
	_ = f.Close()
}

func checkRange[N cmp.Ordered](d *document.Result, path string, value, low, high N) {
	if d.HasFault(path) {
		return
	}
	if value < low || value > high {
		d.AddFault(path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", low, high))
	}
}
