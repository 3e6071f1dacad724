package interference

// Mode is what interference is used for.
type Mode string

// The values of Mode.
const (
	// Off samples nothing.
	Off Mode = "off"
	// Observe estimates and reports.
	Observe Mode = "observe"
	// Avoid also keeps images apart that disturb each other, where there is room.
	Avoid Mode = "avoid"
)
