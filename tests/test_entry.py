"""Tests of the caller and administration interfaces of a served demo."""

import concurrent.futures
import http.client
import json
import os
import signal
import socket
import subprocess
import sys

import openai
import pytest

from kumquatproxy import cli
from kumquatproxy.laboratory import demosystem, fakes

SECRET = {"Authorization": f"Bearer {demosystem.OPERATE_TOKEN}"}


class ServedDemo:
    """Run ``kumquatproxy demo --serve`` in a separate process."""

    def __init__(self):
        self.callers = demosystem.free_address()
        self.admin = demosystem.free_address()
        ports = [address.rpartition(":")[2] for address in (self.callers, self.admin)]
        command = [sys.executable, "-m", "kumquatproxy", "demo", "--serve"]
        command += ["--port", ports[0], "--admin-port", ports[1]]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert any(line == "ready\n" for line in self.process.stdout)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=30)

    def call(self, method, path, body=b"", headers=None, admin=False):
        address = self.admin if admin else self.callers
        connection = http.client.HTTPConnection(address, timeout=30)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()


@pytest.fixture(scope="module")
def served():
    demo = ServedDemo()
    yield demo
    assert demo.stop() == 0


@pytest.fixture(scope="module")
def client(served):
    return openai.OpenAI(base_url=f"http://{served.callers}/v1", api_key="unused")


def test_openai_client_lists_models(client):
    names = {model.id for model in client.models.list()}
    assert {"gait-00", "gait-00@1", "gait-03+adapter-03"} <= names


def test_openai_client_chats_with_an_adapter(client):
    messages = [{"role": "user", "content": "hello"}]
    name = "gait-03+adapter-03"
    answer = client.chat.completions.create(model=name, messages=messages, max_tokens=5)
    expected = "".join(fakes.tokens_for(name, "hello", 5))
    assert answer.choices[0].message.content == expected
    stream = client.chat.completions.create(
        model=name, messages=messages, max_tokens=5, stream=True
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text == expected


def test_openai_client_reads_the_error_of_an_unknown_model(client):
    with pytest.raises(openai.NotFoundError) as error_info:
        client.completions.create(model="gaitt-00", prompt="x")
    assert error_info.value.code == "model-not-found"
    assert "did you mean 'gait-00'" in str(error_info.value)


def test_200_concurrent_requests_get_their_own_complete_answers(client):
    # Guards against answers that are mixed up between callers or truncated.
    def is_answer_correct(index):
        name = f"gait-{index % 17:02d}"
        prompt = f"prompt {index}"
        stream = client.completions.create(
            model=name, prompt=prompt, max_tokens=20, stream=True
        )
        text = "".join(chunk.choices[0].text for chunk in stream)
        return text == "".join(fakes.tokens_for(name, prompt, 20))

    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        assert all(pool.map(is_answer_correct, range(200)))


JSON = {"Content-Type": "application/json"}
VALID_BODY = {"model": "gait-00", "prompt": "x"}


@pytest.mark.parametrize(
    "method, path, body, headers, status, code",
    [
        ("POST", "/v1/completions", b"{", JSON, 400, "invalid-request"),
        ("POST", "/v1/completions", b"[1]", JSON, 400, "invalid-request"),
        ("POST", "/v1/completions", b"\xff{}", JSON, 400, "invalid-request"),
        ("POST", "/v1/completions", b"[" * 100_000, JSON, 400, "invalid-request"),
        ("POST", "/v1/completions", b'{"model": 7}', JSON, 400, "invalid-request"),
        ("POST", "/v1/completions", b'{"model": "x"}', JSON, 404, "model-not-found"),
        ("GET", "/v1/completions", b"", {}, 405, "method-not-allowed"),
        ("GET", "/nowhere", b"", {}, 404, "not-found"),
        ("GET", "/services/nothing/x", b"", {}, 404, "service-not-found"),
        (
            "POST",
            "/v1/completions",
            json.dumps(VALID_BODY).encode(),
            {**JSON, "X-Request-Timeout-Ms": "soon"},
            400,
            "invalid-request",
        ),
        (
            "POST",
            "/v1/completions",
            json.dumps(VALID_BODY).encode(),
            {**JSON, "X-Priority": "10"},
            400,
            "invalid-request",
        ),
        (
            "POST",
            "/services/clinic-desk/x",
            b"{}",
            {"Idempotency-Key": "k" * 300},
            400,
            "invalid-request",
        ),
    ],
)
def test_invalid_request_gets_an_error_code(
    served, method, path, body, headers, status, code
):
    answer_status, answer_headers, data = served.call(method, path, body, headers)
    problem = json.loads(data)
    assert (answer_status, problem["code"]) == (status, code)
    assert answer_headers["Content-Type"] == "application/problem+json"
    assert problem["executed"] == "no"
    assert problem["detail"] and problem["error"]["code"] == code


def test_oversized_body_is_refused_before_it_is_read(served):
    # Guards against a caller that exhausts the memory of an entry host.
    with socket.create_connection(served.callers.split(":"), timeout=30) as raw:
        raw.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 100000000\r\n\r\n"
        )
        assert b" 413 " in raw.recv(4096)


def test_host_keeps_serving_after_an_oversized_header(served):
    headers = {"X-Large": "x" * 200_000}
    try:
        status, _, _ = served.call("GET", "/healthz", b"", headers)
        assert status >= 400
    except OSError:
        pass  # the host closes the connection before the whole header is sent
    assert served.call("GET", "/healthz")[0] == 200


def test_request_id_of_the_caller_is_returned(served):
    headers = {"X-Request-Id": "mine"}
    assert served.call("GET", "/v1/models", b"", headers)[1]["X-Request-Id"] == "mine"


def test_resent_call_with_idempotency_key_gets_the_first_answer(served):
    headers = {"Idempotency-Key": "reservation-1", **JSON}
    path = "/services/clinic-desk/reservations"
    first = served.call("POST", path, b'{"shoe": 42}', headers)
    again = served.call("POST", path, b'{"shoe": 42}', headers)
    assert (first[0], first[2]) == (again[0], again[2]) == (200, first[2])
    other = served.call("POST", path, b'{"shoe": 43}', headers)
    assert json.loads(other[2])["code"] == "key-mismatch"


def test_metrics_page_has_request_durations(served):
    status, _, data = served.call("GET", "/metrics")
    assert status == 200
    assert b"kumquatproxy_request_duration_seconds_count" in data


def test_admin_calls_need_a_token_and_a_role(served):
    path = "/admin/v1/status"
    assert served.call("GET", path, admin=True)[0] == 401
    wrong_token = {"Authorization": "Bearer wrong"}
    assert served.call("GET", path, b"", wrong_token, admin=True)[0] == 401
    read = {"Authorization": f"Bearer {demosystem.READ_TOKEN}"}
    status, _, data = served.call("GET", path, b"", read, admin=True)
    assert status == 200 and json.loads(data)["without_replica"] == []
    sheet = json.dumps({"follows": 1, "sheet": "x"}).encode()
    refused = served.call("POST", "/admin/v1/sheet", sheet, read, admin=True)
    assert refused[0] == 403


def run_cli(served, *arguments):
    environment = {
        **os.environ,
        "KUMQUATPROXY_ADMIN": served.admin,
        "KUMQUATPROXY_TOKEN": demosystem.OPERATE_TOKEN,
    }
    command = [sys.executable, "-m", "kumquatproxy", *arguments]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def test_operator_commands_work_on_a_served_demo(served, tmp_path):
    shown = run_cli(served, "sheet", "show")
    assert shown.returncode == cli.EXIT_OK
    path = tmp_path / "sheet.ini"
    path.write_text(shown.stdout.replace("priority = 9", "priority = 8", 1))
    assert "+priority = 8" in run_cli(served, "sheet", "diff", str(path)).stdout
    follows = json.loads(run_cli(served, "sheet", "show", "--json").stdout)["version"]
    arguments = ("sheet", "submit", str(path), "--follows", str(follows))
    assert run_cli(served, *arguments).returncode == cli.EXIT_OK
    # A repeated submission gets the same answer; another sheet gets a conflict.
    assert run_cli(served, *arguments).returncode == cli.EXIT_OK
    path.write_text(shown.stdout.replace("priority = 9", "priority = 7", 1))
    conflict = run_cli(served, *arguments)
    assert conflict.returncode == cli.EXIT_CONFLICT
    assert "version-conflict" in conflict.stderr
    assert "replica on gait-models" in run_cli(served, "explain", "gait-00").stdout
    assert "without a replica: none" in run_cli(served, "status").stdout
    assert len(run_cli(served, "sheet", "history").stdout.splitlines()) >= 2


def test_sheet_that_does_not_fit_is_refused_with_the_reason(served, tmp_path):
    path = tmp_path / "sheet.ini"
    text = run_cli(served, "sheet", "show").stdout
    path.write_text(text.replace("memory = 9000MB", "memory = 900GB", 1))
    check = run_cli(served, "sheet", "check", str(path), "--admin", served.admin)
    assert check.returncode == cli.EXIT_REFUSED
    assert "does not fit: model:gait-00@1" in check.stdout
    assert run_cli(served, "sheet", "submit", str(path)).returncode == cli.EXIT_REFUSED


def test_malformed_sheet_is_refused_with_every_error(served, tmp_path):
    path = tmp_path / "sheet.ini"
    path.write_text("[service s]\nkindd = engine\n[modell m]\nversions = 1\n")
    check = run_cli(served, "sheet", "check", str(path))
    assert check.returncode == cli.EXIT_REFUSED
    for line in ("line 1", "line 2", "line 3"):
        assert line in check.stderr
