package org.berylwick.pgm;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;

/** Prints a script that completes commands and options in a shell. */
final class Completion implements Command {
    private static final List<String> COMMON = List.of("--admin", "--token-file", "--output", "--help");

    @Override
    public String name() {
        return "completion";
    }

    @Override
    public Message help() {
        return Message.COMPLETION_HELP;
    }

    @Override
    public Message examples() {
        return Message.COMPLETION_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_SHELL, "shell").choices("bash", "zsh");
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        if (options.getString("shell").equals("zsh")) {
            terminal.print("autoload -U +X bashcompinit && bashcompinit");
        }
        Map<String, Options> commands = CommandLine.create().options();
        String cases = commands.entrySet().stream()
                .map(e -> "    " + e.getKey() + ") words=\""
                        + String.join(" ", e.getValue().flags()) + " --help\" ;;")
                .collect(Collectors.joining("\n"));
        terminal.print("""
                _berylwick() {
                  local word=${COMP_WORDS[COMP_CWORD]} command= words i
                  for ((i = 1; i < COMP_CWORD; i++)); do
                    case " %1$s " in *" ${COMP_WORDS[i]} "*) command=${COMP_WORDS[i]}; break ;; esac
                  done
                  case "$command" in
                    "") words="%1$s %2$s" ;;
                %3$s
                  esac
                  COMPREPLY=($(compgen -W "$words" -- "$word"))
                }
                complete -o default -F _berylwick berylwick
                """.formatted(String.join(" ", commands.keySet()), String.join(" ", COMMON), cases)
                .strip());
        return ExitCode.OK;
    }
}
