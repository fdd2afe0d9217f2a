"""The leaf tasks of this process."""

import asyncio
from collections.abc import Mapping
import logging

from sassafrashold import index
from sassafrashold import views
from sassafrashold.owner import _leaf_task
from sassafrashold.owner import _messages

_LOGGER = logging.getLogger(__name__)


class Registry:
    """Starts a task for each owned leaf and ends it after its last call.

    The task of a leaf that is lost stays until nothing is in flight, so that a
    leaf that comes back soon still counts the calls under way.
    """

    def __init__(self, context: _messages.Context) -> None:
        self._context = context
        self._task_by_leaf: dict[str, _leaf_task.LeafTask] = {}
        self._runner_by_leaf: dict[str, asyncio.Task[None]] = {}
        self._synced: tuple[object, ...] | None = None
        self._known_leafs: frozenset[str] = frozenset()
        self.failed = asyncio.Event()

    @property
    def task_by_leaf(self) -> Mapping[str, _leaf_task.LeafTask]:
        """Tasks by leaf id."""
        return self._task_by_leaf

    def get(self, service: str, leaf: index.Leaf) -> _leaf_task.LeafTask | None:
        """Returns the task of a leaf; None if the table lacks its service."""
        task = self._task_by_leaf.get(leaf.leaf_id)
        if task is not None:
            return task
        view = self._context.view()
        row = view.table.row_by_service.get(service) if view.table else None
        if row is None:
            return None
        task = _leaf_task.LeafTask(leaf, row, self._context)
        self._task_by_leaf[leaf.leaf_id] = task
        runner = asyncio.create_task(task.run())
        runner.add_done_callback(self._check_end)
        self._runner_by_leaf[leaf.leaf_id] = runner
        return task

    def sync(self) -> None:
        """Follows a change of the view or of the entitlement.

        Views come several times a second, because each renewal of a lease makes
        one. The walk over all leafs is left out if nothing concerns it.
        """
        view = self._context.view()
        rights = self._context.rights
        known = rights.entitlement
        state = (
            view.table,
            view.shardmap_by_service,
            known.members,
            known.member,
        )
        if self._synced is None or any(
            new is not old for new, old in zip(state, self._synced, strict=True)
        ):
            self._synced = state
            self._walk(view)
        for task in self._task_by_leaf.values():
            task.refresh()

    def _walk(self, view: views.View) -> None:
        rights = self._context.rights
        self._known_leafs = _leaf_ids(view)
        for service, shardmap in view.shardmap_by_service.items():
            for leaf in shardmap.leaf_by_id.values():
                task = self._task_by_leaf.get(leaf.leaf_id)
                if task is not None and task.leaf != leaf:
                    task.move(leaf)
                if task is None and not rights.static and rights.owns(leaf):
                    self.get(service, leaf)

    def reap(self) -> None:
        """Ends the tasks of leafs that are lost and have nothing in flight."""
        for leaf_id, task in list(self._task_by_leaf.items()):
            lost = (
                leaf_id not in self._known_leafs
                or not self._context.rights.owns(task.leaf)
            )
            if lost and task.idle:
                del self._task_by_leaf[leaf_id]
                self._runner_by_leaf.pop(leaf_id).cancel()

    def released(self) -> bool:
        """Returns whether nothing is in flight on leafs that are not owned."""
        return all(
            task.idle or self._context.rights.owns(task.leaf)
            for task in self._task_by_leaf.values()
        )

    def idle(self) -> bool:
        """Returns whether nothing is in flight on any leaf."""
        return all(task.idle for task in self._task_by_leaf.values())

    def _check_end(self, runner: asyncio.Task[None]) -> None:
        """Reports a task that failed; its calls are no longer counted."""
        if not runner.cancelled() and runner.exception() is not None:
            _LOGGER.critical("leaf task failed", exc_info=runner.exception())
            self.failed.set()

    async def close(self) -> None:
        """Ends all tasks."""
        for runner in self._runner_by_leaf.values():
            runner.cancel()
        await asyncio.gather(
            *self._runner_by_leaf.values(), return_exceptions=True
        )


def _leaf_ids(view: views.View) -> frozenset[str]:
    return frozenset(
        leaf_id
        for shardmap in view.shardmap_by_service.values()
        for leaf_id in shardmap.leaf_by_id
    )
