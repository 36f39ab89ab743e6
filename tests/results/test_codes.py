from quetzalpass.results import codes, failures


class TestCodes:
    def test_every_code_has_a_spec(self):
        assert set(codes.SPECS) == set(codes.Code)

    def test_failure_can_override_the_execution_of_its_code(self):
        failure = failures.Failure(
            codes.Code.DEADLINE_EXCEEDED, "late", codes.Execution.NOT_RUN
        )
        assert failure.effective_execution() is codes.Execution.NOT_RUN
