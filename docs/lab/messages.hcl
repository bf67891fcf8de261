# 1,000 drivers before 200 members, 20,000 ops a second: what messages between drivers are worth.
scenario "large" {
  drivers = 1000
  groups  = 20
  members = 10
  work    = "20ms"
  load    = 0.5
  for     = "10s"
  retries = 2
}

experiment "messages" {
  scenario = "large"
  seeds    = 2
  variant "as-on-the-platform" {}
  variant "270" { messages = 270 }
  variant "1000" { messages = 1000 }
}
