package opening

// setup is the part of the settings object that is read. The fields are named as the settings are, also where those
// have other names than the module's, as errors of the decoder show them to operators.
type setup struct {
	Index    int
	Siblings int    `json:"siblings"`
	Zone     string `json:"zone"`
	Tick     float64
	Profiles []profile
	Family   struct {
		Checks       string
		Needs        []string  `json:"needs_by_class"`
		OldestData   []float64 `json:"oldest_data"`
		PositionZero float64   `json:"position_zero"`
		ShowsRole    string    `json:"shows_role"`
		WriteMarks   string    `json:"write_marks"`
		Stamps       bool
	} `json:"family_info"`
	Limits struct {
		Cancel        bool
		MayProbe      bool `json:"may_probe"`
		ParallelTries bool `json:"parallel_tries"`
		Peers         bool
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		SendCap       int     `json:"send_cap"`
		ConnIdle      float64 `json:"conn_idle"`
		ConnectTime   float64 `json:"connect_timeout"`
	} `json:"policy_limits"`
	Registry string `json:"registry_mode"`
	Report   struct {
		Fields []string
		Source string
	}
	Rules struct {
		Cold             float64
		ColdFrom         float64 `json:"cold_from"`
		Fall             float64
		TipMultiple      float64 `json:"tip_multiple"`
		OnlyDrainingBind bool    `json:"only_draining_binds"`
		StopSending      float64 `json:"stop_sending_within"`
	}
}

// profile is an op type. It stands for an unnamed type, so that errors name its fields by their settings alone.
type profile = struct {
	Name     string
	Aim      float64
	Deadline float64
	Effect   string
	KeyScope string `json:"key_scope"`
	Window   float64
	Points   float64
}
