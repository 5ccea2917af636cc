package capacity

// The size to design for.
const (
	Nodes             = 360
	Runners           = 1_700
	Accelerators      = 14_000
	RequestsPerSecond = 7_600
	TokensPerSecond   = 3_400_000
	Blocks            = 170_000_000
	EventsPerSecond   = 240_000
	Workspaces        = 1_500
	Models            = 5
	Regions           = 3
	DataCentres       = 7
	ChangesPerDay     = 7_800
	FailuresPerDay    = 11
	RestartsPerDay    = 450
)

// What a node may spend on control.
const (
	BudgetCore   = 0.024       // of one core
	BudgetMemory = 256_000_000 // bytes
	BudgetBytes  = 14_000      // a second
)

// ChangeSeconds is within how long a change is to be in force everywhere.
const ChangeSeconds = 8

// What follows from these.
const (
	NodeRequests         = float64(RequestsPerSecond) / Nodes
	NodeTokens           = float64(TokensPerSecond) / Nodes
	NodesPerDataCentre   = float64(Nodes) / DataCentres
	RunnersPerDataCentre = float64(Runners) / DataCentres
	ChangesPerSecond     = float64(ChangesPerDay) / secondsPerDay
	secondsPerDay        = 86_400
)
