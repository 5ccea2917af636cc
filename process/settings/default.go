package settings

import (
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Defaults of the settings that a file may leave out. examples/settings.yaml shows
// them, and a test compares the two.
const (
	DefaultPlatformTimeout  = 2 * time.Second
	DefaultPeerCallTimeout  = time.Second
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxHeaderBytes   = 16 << 10
	DefaultMaxConnections   = 16 << 10
	DefaultHeaderTimeout    = 10 * time.Second
	DefaultIdleTimeout      = 60 * time.Second
	DefaultWriteTimeout     = 30 * time.Second
	DefaultQueueLength      = 512
	DefaultQueueMaxWait     = 5 * time.Second
	DefaultJournalHorizon   = config.Horizon
	DefaultAppendsPerSecond = 100.0
	DefaultPlansSettle      = 8 * time.Second
	DefaultShutdownNotice   = 2 * time.Second
	DefaultShutdownGrace    = 60 * time.Second
	DefaultLogLevel         = "info"
)

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: DefaultPlatformTimeout},
		Peers:    Peers{CallTimeout: DefaultPeerCallTimeout},
		Limits: Limits{
			MaxBodyBytes:   DefaultMaxBodyBytes,
			MaxHeaderBytes: DefaultMaxHeaderBytes,
			MaxConnections: DefaultMaxConnections,
			HeaderTimeout:  DefaultHeaderTimeout,
			IdleTimeout:    DefaultIdleTimeout,
			WriteTimeout:   DefaultWriteTimeout,
		},
		Queue: Queue{Length: DefaultQueueLength, MaxWait: DefaultQueueMaxWait},
		Journal: Journal{
			Horizon:          DefaultJournalHorizon,
			AppendsPerSecond: DefaultAppendsPerSecond,
		},
		Plans:    Plans{Settle: DefaultPlansSettle},
		Shutdown: Shutdown{Notice: DefaultShutdownNotice, Grace: DefaultShutdownGrace},
		Log:      Log{Level: DefaultLogLevel},
	}
}
