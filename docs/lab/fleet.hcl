# weirlab fleet docs/lab/fleet.hcl: five processes of the program, and what happens to them. Drivers are told by number.
drivers = 5
spare   = 1
period  = "500ms"
end     = "75s"

step "kill" {
  at      = "8s"
  drivers = [4]
}
step "start" {
  at      = "16s"
  drivers = [4]
}
step "cut" {
  at    = "22s"
  parts = [[0, 1], [2, 3, 4, 5]]
}
step "heal" {
  at = "36s"
}
step "way" { # n0 is not heard by n1 any more, and hears it
  at   = "42s"
  from = 0
  to   = 1
  cut  = true
}
step "heal" {
  at = "54s"
}
step "freeze" {
  at      = "57s"
  drivers = [2]
}
step "thaw" {
  at      = "66s"
  drivers = [2]
}
