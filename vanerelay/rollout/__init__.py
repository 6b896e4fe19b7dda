"""Rolling changes: old and new gateways side by side, rolled back when a stage does worse.

`controller` drives a change by a plan (`plan_reader`) and a record (`change_log`): `stage_machine` decides
what is to be done next, `canary_analysis` how a stage does. `agent` is a gateway's side; `supervisor` runs a
gateway's processes and starts the next release beside the present one. The reasons are in
docs/design/rollout.md.
"""
