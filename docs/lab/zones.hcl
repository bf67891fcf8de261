# weirlab experiment docs/lab/zones.hcl: a fault of 8 s of a zone, of the ways between two, or of one way, in a day of 24 s.
# Variants: each driver learns alone; it goes by a plan that is in force 1.8 s after the fault began (as seen with processes)
# and stays until the zone returns; it is told the truth at once.
scenario "zones" {
  groups  = 4
  members = 9
  zones   = 3
  load    = 0.6
  for     = "24s"
  retries = 2
}

experiment "zones" {
  scenario = "zones"
  seeds    = 3
  drivers  = [30, 300]
  variant "vanish-alone" {
    fault "vanish" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
  }
  variant "vanish-plan" {
    fault "vanish" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
    fault "toll" {
      at  = "9800ms"
      for = "9s"
      on  = "b"
    }
  }
  variant "vanish-truth" {
    fault "vanish" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
    fault "toll" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
  }
  variant "cut-alone" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a-b"
    }
  }
  variant "cut-plan" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a-b"
    }
    fault "toll" {
      at  = "9800ms"
      for = "9s"
      on  = "a>b"
    }
    fault "toll" {
      at  = "9800ms"
      for = "9s"
      on  = "b>a"
    }
  }
  variant "cut-truth" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a-b"
    }
    fault "toll" {
      at  = "8s"
      for = "8s"
      on  = "a>b"
    }
    fault "toll" {
      at  = "8s"
      for = "8s"
      on  = "b>a"
    }
  }
  variant "one-way-alone" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a>b"
    }
  }
  variant "one-way-plan" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a>b"
    }
    fault "toll" {
      at  = "9800ms"
      for = "9s"
      on  = "a>b"
    }
  }
  variant "one-way-truth" {
    fault "cut" {
      at  = "8s"
      for = "8s"
      on  = "a>b"
    }
    fault "toll" {
      at  = "8s"
      for = "8s"
      on  = "a>b"
    }
  }
  variant "slow-alone" {
    fault "slow" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
  }
  variant "slow-plan" {
    fault "slow" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
    fault "toll" {
      at  = "9800ms"
      for = "9s"
      on  = "b"
    }
  }
  variant "slow-truth" {
    fault "slow" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
    fault "toll" {
      at  = "8s"
      for = "8s"
      on  = "b"
    }
  }
}
