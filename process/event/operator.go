package event

// Events of the operator interface.
const (
	// OperatorRefused: a call without a known token was refused. To do: if it continues, find out who calls from the given address.
	OperatorRefused Event = iota + 600
	// IntentStated: an operator stated an intent and was given a plan.
	IntentStated
	// IntentRefused: an intent was refused for the given reason.
	IntentRefused
	// PlanConfirmed: an operator confirmed a plan and the log accepted it.
	PlanConfirmed
	// ConfirmationRefused: a confirmation was refused, in most cases because another change came first.
	ConfirmationRefused
	// BootstrapTokenUsed: the bootstrap token from the settings was accepted because no operator is configured yet. To do: configure an operator.
	BootstrapTokenUsed
	// OperatorCallFailed: an operator's call failed for the given cause. To do: report it with the cause.
	OperatorCallFailed
)
