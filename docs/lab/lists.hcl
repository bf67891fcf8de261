# A deploy of one group while the list stands still for half of the drivers, or errs about a member.
scenario "deploy" {
  groups  = 2
  members = 5
  load    = 0.4
  for     = "34s"
  retries = 2
  fault "deploy" {
    at  = "2s"
    for = "6s"
    on  = "g1"
  }
}

experiment "lists" {
  scenario = "deploy"
  seeds    = 8
  drivers  = [10, 100]
  variant "in-time" {}
  variant "half-stand-still" {
    fault "late" {
      at  = "1s"
      for = "20s"
      on  = "1/2"
    }
  }
  variant "all-stand-still" {
    fault "late" {
      at  = "1s"
      for = "20s"
    }
  }
  variant "errs" {
    fault "wrong" {
      at  = "3s"
      for = "10s"
      on  = "g2"
    }
  }
}
