"""Background coroutines, at most one of each name."""

import asyncio
import typing

from absl import logging


class BackgroundTasks:
    """Holds running tasks, so that none is lost or started twice."""

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(
        self,
        name: str,
        work: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> bool:
        """Start ``work``; False while the last of this name still runs."""
        if name in self._running:
            return False
        task = asyncio.get_running_loop().create_task(work(), name=name)
        self._running[name] = task
        task.add_done_callback(self._done)
        return True

    def close(self) -> None:
        """Cancel every task."""
        for task in self._running.values():
            task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._running.pop(task.get_name(), None)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'task %s failed', task.get_name(), exc_info=task.exception()
            )


def background_tasks() -> BackgroundTasks:
    """Create an empty set of tasks."""
    return BackgroundTasks()
