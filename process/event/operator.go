package event

// Events of the operator interface.
const (
	// OperatorRefused: a call without a known token was refused. To do: when it goes on, find out who calls from the address given.
	OperatorRefused Event = iota + 600
	// IntentStated: an operator stated an intent and was given a plan.
	IntentStated
	// IntentRefused: an intent was refused for the reason given.
	IntentRefused
	// PlanConfirmed: an operator confirmed a plan and the log accepted it.
	PlanConfirmed
	// ConfirmationRefused: a confirmation was refused, mostly because another change came first.
	ConfirmationRefused
	// BootstrapTokenUsed: the bootstrap token of the settings was accepted because no operator is configured yet. To do: configure an operator.
	BootstrapTokenUsed
	// OperatorCallFailed: an operator's call failed for the cause given. To do: report it with the cause.
	OperatorCallFailed
)
