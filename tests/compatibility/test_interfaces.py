"""Interfaces to operators and their tools are the same as when the fixtures were recorded."""

import copy

import pytest

from tests.compatibility import interfaces_cases as cases
from tests.compatibility.canonical import load

RECORDED = load("interfaces")
SETTINGS = load("interfaces_settings")


def test_every_setting_keeps_its_key_type_default_and_bounds():
    assert cases.settings_shape() == SETTINGS["shape"]


def test_the_settings_reference_lists_the_same_keys_types_and_defaults():
    assert cases.reference_rows() == SETTINGS["reference"]


def test_a_minimal_file_gives_the_same_effective_settings():
    assert cases.effective_settings() == SETTINGS["effective"]
    assert cases.scheduler_settings() == SETTINGS["scheduler"]


def test_the_deploy_file_keeps_its_keys_and_commands():
    assert cases.deploy_file() == RECORDED["deploy"]


ADDED_METRICS = {  # of each process, since the recording
    "cressrock_event_loop_longest_turn_seconds",
    "cressrock_event_loop_slow_turn_seconds_total",
    "cressrock_event_loop_slow_turns_total",
    "cressrock_state_file_writes_total",
    "cressrock_state_file_slow_writes_total",
    "cressrock_state_file_longest_write_seconds",
}


def recorded_admin_port(program):
    """Return what was recorded of an admin port, with exactly the metrics that came later."""
    recorded = copy.deepcopy(RECORDED["admin"][program])
    answers = recorded["answers"]
    if program == "edge":
        names = answers["/metrics"][-1]
        names[:] = sorted({*names, *ADDED_METRICS})
        return recorded
    metrics_type = RECORDED["admin"]["edge"]["answers"]["/metrics"][1]
    answers["/metrics"] = [200, metrics_type, None, sorted(ADDED_METRICS)]
    for answer in answers.values():
        if answer[0] == 404:
            answer[-1] = "/healthz, /metrics or /v1/status\n"
    return recorded


def test_metrics_keep_name_kind_labels_and_bounds():
    assert cases.metrics() == RECORDED["metrics"]


def test_codes_and_remedies_are_unchanged():
    assert cases.codes() == RECORDED["codes"]


@pytest.mark.parametrize("command", cases.COMMANDS)
def test_a_command_keeps_its_options(command):
    assert cases.help_of(command) == RECORDED["help"][command]


def test_exit_codes_are_unchanged(tmp_path):
    assert cases.exit_codes(tmp_path) == RECORDED["exit codes"]
    assert cases.exit_codes_of_the_module(tmp_path) == RECORDED["exit codes of the module"]


@pytest.mark.parametrize("program", cases.PROGRAMS)
def test_the_admin_port_answers_the_same_paths_with_the_same_keys(program, tmp_path):
    assert cases.admin_port(program, tmp_path) == recorded_admin_port(program)
