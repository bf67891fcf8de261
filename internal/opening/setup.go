package opening

// setup is the part of the settings object that is used. The fields are named like the settings, also where the module
// uses other names, because decoding errors, which operators see, contain them.
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

// profile is the settings of an op type. It is an alias of an unnamed type, so that decoding errors contain only the
// names of the settings.
type profile = struct {
	Name     string
	Aim      float64
	Deadline float64
	Effect   string
	KeyScope string `json:"key_scope"`
	Window   float64
	Points   float64
}
