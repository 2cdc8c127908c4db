package org.wasabimount.core.interference;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Numbers the kinds that were seen last, so that a set of kinds is one word; the number of a kind unseen for long is reused. */
final class KindNumbers {

    /** Number of kinds that are told apart: the bits of a word. */
    static final int MAX_KINDS = Long.SIZE;

    private final Map<TaskKind, Integer> numbers = new LinkedHashMap<>(MAX_KINDS, 0.75f, true);
    private final Deque<Integer> unused =
            new ArrayDeque<>(IntStream.range(0, MAX_KINDS).boxed().toList());
    private final Consumer<TaskKind> evicted;

    KindNumbers(Consumer<TaskKind> evicted) {
        this.evicted = evicted;
    }

    int of(TaskKind kind) {
        Integer known = numbers.get(kind);
        if (known != null) {
            return known;
        }
        if (unused.isEmpty()) {
            Iterator<Map.Entry<TaskKind, Integer>> oldest = numbers.entrySet().iterator();
            Map.Entry<TaskKind, Integer> entry = oldest.next();
            oldest.remove();
            unused.add(entry.getValue());
            evicted.accept(entry.getKey());
        }
        int number = unused.poll();
        numbers.put(kind, number);
        return number;
    }

    /** Returns the kind with a number that is in use. */
    TaskKind kind(int number) {
        return numbers.entrySet().stream()
                .filter(entry -> entry.getValue() == number)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }
}
